/** Test helpers of this and other modules. */
package stonelb.testing;
