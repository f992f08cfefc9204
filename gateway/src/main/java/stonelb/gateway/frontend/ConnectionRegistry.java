package stonelb.gateway.frontend;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import stonelb.io.RateLimitedLog;

/**
 * The open client connections of one frontend. Closes those that are unused for too long, and chooses the one to close
 * when there are too many.
 */
final class ConnectionRegistry {
    /** Timeout for the first complete request; clients expect a close within 3 s. */
    private static final double FIRST_REQUEST_TIMEOUT_MS = 2000;

    /** Timeout for a client that does not read its responses. */
    private static final double WRITE_TIMEOUT_MS = 30_000;

    /** Timeout without a request in flight while more than half of the permitted connections are open; at least 2 s. */
    private static final double SHORT_IDLE_TIMEOUT_MS = 2200;

    /** Timeout without a request in flight while at most half of the permitted connections are open. */
    private static final double LONG_IDLE_TIMEOUT_MS = 30_000;

    /** Minimum age before a connection without a request is evicted: its first request may be in transit. */
    private static final double NEW_CONNECTION_GRACE_MS = 250;

    /** One call of {@link #drainIdle} closes one connection plus all connections divided by this number. */
    private static final int DRAIN_BATCH_DIVISOR = 64;

    private final RateLimitedLog log;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final Set<ClientConnection> withoutRequest = new LinkedHashSet<>(); // no complete request yet, oldest first
    private final Set<ClientConnection> idle = new LinkedHashSet<>(); // no request in flight, longest idle first

    ConnectionRegistry(RateLimitedLog log, int maxConnections) {
        this.log = log;
        this.maxConnections = maxConnections;
    }

    /**
     * Adds a new connection. Beyond the limit the connection that has been unused for longest is closed instead, since
     * clients may keep connections open indefinitely. The new connection most likely carries a request, so it is closed
     * only if all others are in use.
     */
    void add(ClientConnection connection, double now) {
        connections.add(connection);
        if (connections.size() > maxConnections) {
            ClientConnection evicted = evictionCandidate(now);
            if (evicted == null) {
                log.warn("client connection limit reached", "closing a new connection");
                connection.close();
                return;
            }
            remove(evicted); // now: onClosed is called later, possibly after another new connection
            evicted.close();
        }
        withoutRequest.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
        withoutRequest.remove(connection);
        idle.remove(connection);
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Marks the connection as having a request in flight. */
    void markBusy(ClientConnection connection) {
        withoutRequest.remove(connection);
        idle.remove(connection);
    }

    /** Marks the connection as having no request in flight. */
    void markIdle(ClientConnection connection) {
        if (connections.contains(connection)) {
            idle.add(connection);
        }
    }

    /**
     * Returns the connection to evict, or null if none is idle. Prefers one that never sent a request, unless it is new
     * and another one is idle.
     */
    private ClientConnection evictionCandidate(double now) {
        ClientConnection noRequestCandidate = firstUnused(withoutRequest);
        ClientConnection idleCandidate = firstUnused(idle);
        if (noRequestCandidate != null
                && (now - noRequestCandidate.idleSince() > NEW_CONNECTION_GRACE_MS || idleCandidate == null)) {
            return noRequestCandidate;
        }
        return idleCandidate;
    }

    /** The first idle connection without any input, not even part of a message; null if there is none. */
    private static ClientConnection firstUnused(Set<ClientConnection> candidates) {
        for (ClientConnection connection : candidates) {
            if (connection.isIdle() && !connection.hasBufferedInput()) {
                return connection;
            }
        }
        return null;
    }

    /** Answers the partial message that holds most memory with an error; returns false if there is none. */
    boolean abandonLargestMessage() {
        ClientConnection largest = null;
        for (ClientConnection connection : connections) {
            if (largest == null || connection.partialMessageBytes() > largest.partialMessageBytes()) {
                largest = connection;
            }
        }
        boolean found = largest != null && largest.partialMessageBytes() > 0;
        if (found) {
            largest.abandonMessageForMemory();
        }
        return found;
    }

    /** Closes connections that have been unused for too long, and those whose read or write has timed out. */
    void closeExpired(double now) {
        closeIdle(withoutRequest, now - FIRST_REQUEST_TIMEOUT_MS);
        closeIdle(idle, now - idleTimeoutMs());
        for (ClientConnection connection : new ArrayList<>(connections)) {
            connection.checkReadTimeout();
            connection.checkWriteTimeout(now - WRITE_TIMEOUT_MS);
        }
    }

    private double idleTimeoutMs() {
        return connections.size() > maxConnections / 2 ? SHORT_IDLE_TIMEOUT_MS : LONG_IDLE_TIMEOUT_MS;
    }

    private static void closeIdle(Set<ClientConnection> candidates, double idleBefore) {
        ClientConnection connection = firstOrNull(candidates);
        while (connection != null && connection.idleSince() < idleBefore) {
            candidates.remove(connection);
            connection.closeIfUnused();
            connection = firstOrNull(candidates);
        }
    }

    private static ClientConnection firstOrNull(Set<ClientConnection> candidates) {
        return candidates.isEmpty() ? null : candidates.iterator().next();
    }

    /**
     * Closes idle connections, longest idle first. Called repeatedly, it closes a few at a time: between two calls the
     * event loop reads all input, so that a connection with a new request is no longer idle.
     *
     * @param all whether to close every idle connection, including those with part of a message
     */
    void drainIdle(boolean all) {
        int remaining = all ? connections.size() : 1 + connections.size() / DRAIN_BATCH_DIVISOR;
        List<ClientConnection> candidates = new ArrayList<>(idle);
        candidates.addAll(withoutRequest);
        for (ClientConnection connection : candidates) {
            if (remaining > 0 && connection.isIdle() && (all || !connection.hasBufferedInput())) {
                remaining--;
                connection.drain();
            }
        }
    }

    /** Has all connections start or stop reading, depending on the state of the frontend. */
    void updateReading() {
        new ArrayList<>(connections).forEach(ClientConnection::updateReading);
    }

    /** Whether a response is pending on any connection. */
    boolean hasPendingResponses() {
        return connections.stream().anyMatch(ClientConnection::hasPendingWork);
    }
}
