/**
 * Stubs of the services around a gateway: plan servers, discovery and the quota counter, each a server on a loopback address;
 * and the gateway itself in a separate process. Used by tests and by the commands {@code try} and {@code measure}.
 */
package stonelb.standins;
