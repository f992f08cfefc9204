/**
 * The event-loop thread, TCP connections with their input buffers, the log, and file fingerprints. Built on Netty's
 * transport.
 */
package stonelb.io;
