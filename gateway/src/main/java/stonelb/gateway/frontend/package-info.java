/**
 * Protocol-independent part of a frontend: client connections, their limits and their draining.
 *
 * <p>A {@link stonelb.gateway.frontend.Frontend} listens on one address and admits requests into the request table. Each
 * {@link stonelb.gateway.frontend.ClientConnection} decodes requests and writes their responses in request order. All
 * methods run on the one event loop thread unless a method says otherwise.
 */
package stonelb.gateway.frontend;
