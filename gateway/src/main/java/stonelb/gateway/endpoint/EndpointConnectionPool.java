package stonelb.gateway.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import stonelb.core.Attempt;
import stonelb.core.Response;
import stonelb.decision.Outcome;
import stonelb.io.ConnectListener;
import stonelb.io.ConnectResult;

/** The connections to one endpoint in one protocol, and the attempts that wait for one. */
final class EndpointConnectionPool implements ConnectListener {
    /** Connects that fail here, and not at the endpoint, are repeated so often before an attempt fails by them. */
    private static final int MAX_LOCAL_FAILURES = 3;

    /** Before the first repetition; doubles with each. */
    private static final double LOCAL_FAILURE_PAUSE_MS = 5;

    /** An attempt waits for so long where the limit on connections allows it none; then another endpoint is tried. */
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
    /** Connects in a row that failed here, and not at the endpoint. */
    private int localFailures;
    /** Incremented when another process, or another address, takes over the endpoint's name. */
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
     * Takes over the address that discovery reports. Where the address is new, or the endpoint's process was restarted,
     * idle connections are closed here, and those in use once they become idle, in {@link #connectionIdle}.
     */
    void addressChanged(InetSocketAddress newAddress, boolean restarted) {
        if (restarted || !newAddress.equals(address)) {
            address = newAddress;
            incarnation++;
            closeAllIdle();
        }
    }

    /** Sends the attempt on an idle connection, or has it wait for a new one. */
    void send(Attempt attempt) {
        EndpointConnection connection = takeIdleConnection(attempt.isIdempotent());
        if (connection == null) {
            waitingAttempts.add(attempt);
            connectIfNeeded();
            if (connections.awaitsCapacity(this)) {
                connections.scheduleAfter(MAX_CAPACITY_WAIT_MS, (now, token) -> giveBackUnlessConnecting(attempt));
            }
        } else if (!sendOn(connection, attempt)) {
            idleConnections.addLast(connection);
        }
    }

    /** Gives back an attempt that still waits, if no connection is being opened for it. */
    private void giveBackUnlessConnecting(Attempt attempt) {
        if (connectingCount < waitingAttempts.size() && waitingAttempts.remove(attempt)) {
            connections.attemptEnded(attempt, Outcome.NOT_SENT, null);
        }
    }

    /** The one place where an attempt is written, if it still may be; returns whether it was. */
    private boolean sendOn(EndpointConnection connection, Attempt attempt) {
        if (!connections.maySend(attempt)) {
            connections.attemptEnded(attempt, Outcome.NOT_SENT, null);
            return false;
        }
        connection.send(attempt);
        return true;
    }

    /** Gives up the attempt. Returns whether its request may be executed. */
    boolean abandon(Attempt attempt) {
        if (attempt.connection() instanceof EndpointConnection connection) {
            attempt.connection(null);
            return connection.abandon();
        }
        waitingAttempts.remove(attempt);
        return false;
    }

    /**
     * Takes the connection that was used last, so that surplus ones grow old and are closed. A connection that was idle
     * for longer than the reuse limit may be stale; it carries idempotent requests alone, which can be retried.
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
        if (!connections.ensureCapacity()) {
            connections.awaitCapacity(this);
            return;
        }
        openCount++;
        connections.addToOpenCount(1);
        connectingCount++;
        connections.connect(address, newConnection(), this);
    }

    private boolean needsConnection() {
        return connectingCount < waitingAttempts.size() && openCount < connections.maxConnectionsPerEndpoint();
    }

    /**
     * One more connection may be opened, or one to another endpoint is idle and can make room.
     *
     * @return whether this pool needs it
     */
    boolean useCapacity() {
        boolean needed = needsConnection();
        connectIfNeeded();
        return needed;
    }

    private EndpointConnection newConnection() {
        return protocol == OutboundRequest.Protocol.RESP
                ? new RespEndpointConnection(this, connections.log())
                : new HttpEndpointConnection(this, connections.log());
    }

    /** The result of a connect; success is reported through {@link #connectionReady} instead. */
    @Override
    public void onConnectResult(ConnectResult result) {
        if (result.isSuccess()) {
            return;
        }
        if (result.isLocalFailure() && localFailures < MAX_LOCAL_FAILURES) {
            repeatConnect(result.cause());
        } else {
            localFailures = 0;
            connectFailed();
        }
    }

    /**
     * Repeats a connect whose failure tells nothing of the endpoint. Without the pause, a request would use up all its
     * attempts in one instant.
     */
    private void repeatConnect(Throwable cause) {
        connections.log().warn("connection not opened", endpointName + ", " + cause.getMessage());
        openCount--;
        connections.addToOpenCount(-1);
        double pauseMs = LOCAL_FAILURE_PAUSE_MS * (1 << localFailures++);
        connections.scheduleAfter(pauseMs, (now, token) -> {
            connectingCount--;
            connectIfNeeded();
        });
    }

    /** A connection could not be opened, or was closed before anything could be written to it. */
    void connectFailed() {
        openCount--;
        connections.addToOpenCount(-1);
        connectingCount--;
        Attempt attempt = waitingAttempts.poll();
        if (attempt != null) {
            connections.log().warn("endpoint unreachable", endpointName + " at " + authority());
            connections.attemptEnded(attempt, Outcome.CONNECT_FAILED, null);
        }
        connectIfNeeded();
        connections.capacityAvailable();
    }

    /** See {@link IdleReuseLimit}. */
    void staleConnectionFound(double idleMs) {
        connections.staleConnectionFound(idleMs);
    }

    /** Whether input may wait unread, see {@link EndpointConnections#isLoopLate}. */
    boolean isLoopLate() {
        return connections.isLoopLate();
    }

    /**
     * The connection that has been idle for longest, or null. The order of {@link #idleConnections} alone does not tell:
     * a new connection passes its quiet period faster than one that has completed an attempt.
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

    /** A new connection has passed its quiet period. */
    void connectionReady(EndpointConnection connection) {
        connectingCount--;
        localFailures = 0;
        connectionIdle(connection);
    }

    /** A connection is idle: the next waiting attempt that may still be sent gets it. */
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
        connections.capacityAvailable();
    }

    void connectionClosed(EndpointConnection connection) {
        openCount--;
        connections.addToOpenCount(-1);
        idleConnections.remove(connection);
        connectIfNeeded();
        connections.capacityAvailable();
    }

    void attemptEnded(Attempt attempt, Outcome outcome, Response response) {
        connections.attemptEnded(attempt, outcome, response);
    }

    /** Closes the connections that have been idle since before {@code timeMs}. */
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
