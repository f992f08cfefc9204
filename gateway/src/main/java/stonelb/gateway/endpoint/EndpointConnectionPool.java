package stonelb.gateway.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import stonelb.core.Attempt;
import stonelb.core.MemoryBudget;
import stonelb.core.Response;
import stonelb.decision.Outcome;
import stonelb.io.ConnectListener;
import stonelb.io.ConnectResult;

/** The connections to one endpoint in one protocol, and the attempts that wait for one. */
final class EndpointConnectionPool implements ConnectListener {
    /** How often connects that fail locally, not at the endpoint, are retried before an attempt fails. */
    private static final int MAX_LOCAL_FAILURES = 3;

    /** Backoff before the first retry; doubles with each retry. */
    private static final double LOCAL_FAILURE_BACKOFF_MS = 5;

    /** How long an attempt waits if the limit allows no new connection; then another endpoint is tried. */
    private static final double MAX_CAPACITY_WAIT_MS = 100;

    private final EndpointConnections connections;
    private final OutboundRequest.Protocol protocol;
    private final String endpointName;
    private InetSocketAddress address;
    private final ArrayDeque<EndpointConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<Attempt> waitingAttempts = new ArrayDeque<>();
    /** Connections that are open or being opened. */
    private int openCount;

    private int connectingCount;
    /** Consecutive connects that failed locally, not at the endpoint. */
    private int localFailures;
    /** Incremented when the endpoint's process restarts or its address changes. */
    private int incarnation;

    EndpointConnectionPool(
            EndpointConnections connections,
            OutboundRequest.Protocol protocol,
            String endpointName,
            InetSocketAddress address) {
        this.connections = connections;
        this.protocol = protocol;
        this.endpointName = endpointName;
        this.address = address;
    }

    double now() {
        return connections.now();
    }

    private ConnectionLimit limit() {
        return connections.limit(protocol);
    }

    MemoryBudget memory() {
        return connections.memory();
    }

    String endpointName() {
        return endpointName;
    }

    /** The endpoint's host and port, as in the HTTP header Host. */
    String authority() {
        return address.getHostString() + ":" + address.getPort();
    }

    /** The current incarnation of the endpoint; a connection to an earlier one is not used again. */
    int incarnation() {
        return incarnation;
    }

    /**
     * Updates the address to the one that discovery reports. If the address is new, or the endpoint's process was
     * restarted, idle connections are closed here, and those in use once they become idle, in
     * {@link #connectionIdle}.
     */
    void addressChanged(InetSocketAddress newAddress, boolean restarted) {
        if (restarted || !newAddress.equals(address)) {
            address = newAddress;
            incarnation++;
            closeAllIdle();
        }
    }

    /** Sends the attempt on an idle connection, or queues it until a connection is available. */
    void send(Attempt attempt) {
        EndpointConnection connection = takeIdleConnection(attempt.isIdempotent());
        if (connection == null) {
            waitingAttempts.add(attempt);
            connectIfNeeded();
            if (limit().isAwaitedBy(this)) {
                connections.scheduleAfter(MAX_CAPACITY_WAIT_MS, (now, token) -> expireUnlessConnecting(attempt));
            }
        } else if (!sendOn(connection, attempt)) {
            idleConnections.addLast(connection);
        }
    }

    /** Ends an attempt that is still waiting as not sent, if no connection is being opened for it. */
    private void expireUnlessConnecting(Attempt attempt) {
        if (connectingCount < waitingAttempts.size() && waitingAttempts.remove(attempt)) {
            connections.attemptEnded(attempt, Outcome.NOT_SENT, null);
        }
    }

    /** Writes the attempt, if it may still be sent, and returns whether it did. No attempt is written anywhere else. */
    private boolean sendOn(EndpointConnection connection, Attempt attempt) {
        boolean sent = connections.maySend(attempt) && connection.send(attempt);
        if (!sent) {
            connections.attemptEnded(attempt, Outcome.NOT_SENT, null);
        }
        return sent;
    }

    /** Cancels the attempt and returns whether the endpoint may execute its request. */
    boolean abandon(Attempt attempt) {
        if (attempt.connection() instanceof EndpointConnection connection) {
            attempt.connection(null);
            return connection.abandon();
        }
        waitingAttempts.remove(attempt);
        return false;
    }

    /**
     * Takes the most recently used connection, so that surplus ones reach the idle timeout and are closed. A
     * connection that was idle for longer than the reuse limit may be stale; it carries only idempotent requests,
     * which can be retried.
     */
    private EndpointConnection takeIdleConnection(boolean idempotent) {
        for (EndpointConnection connection = idleConnections.pollLast();
                connection != null;
                connection = idleConnections.pollLast()) {
            if (connection.isUsable()) {
                if (idempotent || now() - connection.idleSince() <= connections.idleReuseLimitMs()) {
                    return connection;
                }
                idleConnections.addLast(connection);
                return null;
            }
        }
        return null;
    }

    /** Opens a connection if an attempt waits for one that is not being opened yet. */
    private void connectIfNeeded() {
        if (!needsConnection()) {
            return;
        }
        if (!connections.ensureCapacity(protocol)) {
            limit().await(this);
            return;
        }
        openCount++;
        limit().add(1);
        connectingCount++;
        connections.connect(address, newConnection(), this);
    }

    private boolean needsConnection() {
        return connectingCount < waitingAttempts.size() && openCount < connections.maxConnectionsPerEndpoint();
    }

    /**
     * One more connection in this protocol may be opened, or one to another endpoint is idle and can make room.
     *
     * @return whether this pool needs it
     */
    boolean connectWithFreedCapacity() {
        boolean needed = needsConnection();
        connectIfNeeded();
        return needed;
    }

    private EndpointConnection newConnection() {
        return protocol == OutboundRequest.Protocol.RESP
                ? new RespEndpointConnection(this, connections.log())
                : new HttpEndpointConnection(this, connections.log());
    }

    /** Handles the failure of a connect; success is reported through {@link #connectionReady} instead. */
    @Override
    public void onConnectResult(ConnectResult result) {
        if (result.isSuccess()) {
            return;
        }
        if (result.isLocalFailure() && localFailures < MAX_LOCAL_FAILURES) {
            retryConnect(result.cause());
        } else {
            localFailures = 0;
            connectFailed();
        }
    }

    /**
     * Retries a connect that failed for a local reason, which says nothing about the endpoint. Without the backoff, a
     * request would use up all its attempts at once.
     */
    private void retryConnect(Throwable cause) {
        connections.log().warn("connection not opened", endpointName + ", " + cause.getMessage());
        openCount--;
        limit().add(-1);
        double backoffMs = LOCAL_FAILURE_BACKOFF_MS * (1 << localFailures++);
        connections.scheduleAfter(backoffMs, (now, token) -> {
            connectingCount--;
            connectIfNeeded();
        });
    }

    /** Called when a connection could not be opened, or was closed before anything could be written to it. */
    void connectFailed() {
        openCount--;
        limit().add(-1);
        connectingCount--;
        Attempt attempt = waitingAttempts.poll();
        if (attempt != null) {
            connections.log().warn("endpoint unreachable", endpointName + " at " + authority());
            connections.attemptEnded(attempt, Outcome.CONNECT_FAILED, null);
        }
        connectIfNeeded();
        limit().capacityAvailable();
    }

    /** See {@link IdleReuseLimit}. */
    void staleConnectionFound(double idleMs) {
        connections.staleConnectionFound(idleMs);
    }

    /** Whether there may be unread input, see {@link EndpointConnections#isLoopLagging}. */
    boolean isLoopLagging() {
        return connections.isLoopLagging();
    }

    /**
     * The connection that has been idle the longest, or null. {@link #idleConnections} is not sorted by idle
     * time: a new connection has a shorter quiet period than one that has completed an attempt.
     */
    EndpointConnection oldestIdle() {
        EndpointConnection oldest = null;
        for (EndpointConnection connection : idleConnections) {
            if (oldest == null || connection.idleSince() < oldest.idleSince()) {
                oldest = connection;
            }
        }
        return oldest;
    }

    /** Closes an idle connection. */
    void evict(EndpointConnection connection) {
        idleConnections.remove(connection);
        connection.close();
    }

    void scheduleAfter(double delayMs, EndpointConnection connection) {
        connections.scheduleAfter(delayMs, connection);
    }

    /** Called when a new connection has passed its quiet period. */
    void connectionReady(EndpointConnection connection) {
        connectingCount--;
        localFailures = 0;
        connectionIdle(connection);
    }

    /** Called when a connection becomes idle; assigns it to the next waiting attempt that may still be sent. */
    void connectionIdle(EndpointConnection connection) {
        if (connection.incarnation() != incarnation) {
            connection.close();
            return;
        }
        for (Attempt attempt = waitingAttempts.poll(); attempt != null; attempt = waitingAttempts.poll()) {
            if (sendOn(connection, attempt)) {
                return;
            }
        }
        idleConnections.addLast(connection);
        limit().capacityAvailable();
    }

    void connectionClosed(EndpointConnection connection) {
        openCount--;
        limit().add(-1);
        idleConnections.remove(connection);
        connectIfNeeded();
        limit().capacityAvailable();
    }

    void attemptEnded(Attempt attempt, Outcome outcome, Response response) {
        connections.attemptEnded(attempt, outcome, response);
    }

    /** Closes the connections that became idle before {@code timeMs}. */
    void closeIdleBefore(double timeMs) {
        for (EndpointConnection connection : new ArrayList<>(idleConnections)) {
            if (connection.idleSince() < timeMs) {
                evict(connection);
            }
        }
    }

    void closeAllIdle() {
        closeIdleBefore(Double.MAX_VALUE);
    }

    /** Whether the pool holds neither connections nor waiting attempts. */
    boolean isEmpty() {
        return openCount == 0 && waitingAttempts.isEmpty();
    }
}
