/**
 * The requests in flight around the decision engine, and the timers. This package is independent of protocols and uses
 * no I/O: it depends on the standard collections and on {@code stonelb.decision} alone.
 */
package stonelb.core;
