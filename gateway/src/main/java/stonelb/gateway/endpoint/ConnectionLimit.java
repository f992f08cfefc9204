package stonelb.gateway.endpoint;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The limit on the connections to all endpoints in one protocol. Each protocol has its own, so that clients of one
 * frontend can't take the connections that those of the other need.
 */
final class ConnectionLimit {
    private final int maxConnections;

    /**
     * Pools with attempts that wait because the limit allowed no new connection, in the order in which they started to
     * wait.
     */
    private final Set<EndpointConnectionPool> waitingPools = new LinkedHashSet<>();

    /** Connections that are open or being opened. */
    private int openCount;

    ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    boolean isReached() {
        return openCount >= maxConnections;
    }

    void add(int change) {
        openCount += change;
    }

    /** Registers the pool to be called once another connection may be opened. */
    void await(EndpointConnectionPool pool) {
        waitingPools.add(pool);
    }

    boolean isAwaitedBy(EndpointConnectionPool pool) {
        return waitingPools.contains(pool);
    }

    /**
     * Called when a connection was closed or became idle; lets the pool that has waited longest open one in its
     * place.
     */
    void capacityAvailable() {
        while (!waitingPools.isEmpty()) {
            EndpointConnectionPool pool = waitingPools.iterator().next();
            waitingPools.remove(pool);
            if (pool.connectWithFreedCapacity()) {
                return;
            }
        }
    }
}
