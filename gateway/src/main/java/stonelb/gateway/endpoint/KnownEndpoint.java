package stonelb.gateway.endpoint;

import java.net.InetSocketAddress;

/** An endpoint as discovery last reported it, with its connection pool for each protocol. */
final class KnownEndpoint {
    /** Null until the first request in RESP2. */
    private EndpointConnectionPool respPool;

    /** Null until the first request over HTTP. */
    private EndpointConnectionPool httpPool;

    private String name;
    private InetSocketAddress address;
    private boolean draining;
    private double startedAtMs;

    String name() {
        return name;
    }

    /** The endpoint's address for RESP2. */
    InetSocketAddress address() {
        return address;
    }

    boolean isDraining() {
        return draining;
    }

    /** When the endpoint's process started, on the event loop's clock; it changes only when the process restarts. */
    double startedAtMs() {
        return startedAtMs;
    }

    /** The pool for the protocol, or null. */
    EndpointConnectionPool pool(OutboundRequest.Protocol protocol) {
        return protocol == OutboundRequest.Protocol.RESP ? respPool : httpPool;
    }

    void addPool(OutboundRequest.Protocol protocol, EndpointConnectionPool pool) {
        if (protocol == OutboundRequest.Protocol.RESP) {
            respPool = pool;
        } else {
            httpPool = pool;
        }
    }

    void update(String newName, InetSocketAddress newAddress, boolean newDraining, double newStartedAtMs) {
        name = newName;
        address = newAddress;
        draining = newDraining;
        startedAtMs = newStartedAtMs;
    }

    /** Closes the connections that became idle before {@code timeMs}. */
    void closeIdleBefore(double timeMs) {
        if (respPool != null) {
            respPool.closeIdleBefore(timeMs);
        }
        if (httpPool != null) {
            httpPool.closeIdleBefore(timeMs);
        }
    }

    /** Whether the endpoint is draining and has neither connections nor waiting attempts left. */
    boolean isDrained() {
        return draining && isEmpty(respPool) && isEmpty(httpPool);
    }

    private static boolean isEmpty(EndpointConnectionPool pool) {
        return pool == null || pool.isEmpty();
    }
}
