/**
 * Connections to endpoints (plan servers), pooled by endpoint and protocol.
 *
 * <p>{@link stonelb.gateway.endpoint.EndpointConnections} sends the attempts of the request table, tracks the addresses
 * that discovery reports and bounds the number of sockets. Each {@code EndpointConnectionPool} holds the connections to
 * one endpoint in one protocol and the attempts that wait for one; each {@code EndpointConnection} carries one attempt
 * at a time, over RESP2 or HTTP/1.1. Everything here runs on the event loop's thread.
 */
package stonelb.gateway.endpoint;
