package stonelb.gateway.endpoint;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import stonelb.core.Attempt;
import stonelb.core.EndpointConnector;
import stonelb.core.MemoryBudget;
import stonelb.core.RequestTable;
import stonelb.core.Response;
import stonelb.core.TimerCallback;
import stonelb.decision.Outcome;
import stonelb.discovery.AddressListener;
import stonelb.io.ConnectListener;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/**
 * All connections to endpoints: a pool for each endpoint and protocol, with a common limit on the number of
 * connections.
 */
public final class EndpointConnections implements EndpointConnector, AddressListener, TimerCallback {
    private static final double MAX_SWEEP_INTERVAL_MS = 1000;
    private static final double SWEEPS_PER_IDLE_TIMEOUT = 10;

    /** Idle connections are closed after this fraction of the endpoints' idle timeout. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    /** How long idle connections are kept at least: beyond the reuse limit, they still carry idempotent requests. */
    private static final double MIN_IDLE_RETENTION_MS = 2000;

    /**
     * Time since the event loop last read all input, beyond which it is lagging; less than the 100 ms within which a
     * client's close must be noticed.
     */
    private static final double LOOP_LAG_THRESHOLD_MS = 50;

    private static final int MIN_CONNECTIONS_PER_ENDPOINT = 4;
    private static final OutboundRequest.Protocol[] PROTOCOLS = OutboundRequest.Protocol.values();

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final int connectTimeoutMs;
    private final double idleTimeoutMs;
    private final int maxConnections;
    private final int httpPort;
    private final IdleReuseLimit idleReuseLimit;
    private final Map<Long, KnownEndpoint> endpoints = new HashMap<>();
    private final Map<OutboundRequest.Protocol, ConnectionLimit> limits = new EnumMap<>(OutboundRequest.Protocol.class);

    private RequestTable requests;

    /**
     * Creates the connector without opening anything.
     *
     * @param connectTimeoutMs the connect timeout, in milliseconds
     * @param idleTimeoutMs the time after which endpoints close an idle connection, in milliseconds
     * @param maxConnections limit on the connections to all endpoints in one protocol
     * @param httpPort the endpoints' port for HTTP; 0 where HTTP is not used
     */
    public EndpointConnections(
            EventLoop loop,
            RateLimitedLog log,
            int connectTimeoutMs,
            double idleTimeoutMs,
            int maxConnections,
            int httpPort) {
        this.loop = loop;
        this.log = log;
        this.connectTimeoutMs = connectTimeoutMs;
        this.idleTimeoutMs = idleTimeoutMs;
        this.maxConnections = maxConnections;
        for (OutboundRequest.Protocol protocol : PROTOCOLS) {
            limits.put(protocol, new ConnectionLimit(maxConnections));
        }
        this.httpPort = httpPort;
        idleReuseLimit = new IdleReuseLimit(maxIdleMs());
    }

    /** Starts the periodic close of idle connections; {@code requestTable} is notified when attempts end. */
    public void start(RequestTable requestTable) {
        requests = requestTable;
        scheduleSweep();
    }

    /**
     * Applies an update of an endpoint from discovery. Connections to an earlier process are not reused: if its machine
     * failed, they were never reset.
     */
    @Override
    public void addressChanged(
            long endpointId, String name, InetSocketAddress address, boolean ready, double startedAtMs) {
        KnownEndpoint endpoint = endpoints.computeIfAbsent(endpointId, id -> new KnownEndpoint());
        boolean restarted = startedAtMs != endpoint.startedAtMs();
        endpoint.update(name, address, !ready, startedAtMs);
        for (OutboundRequest.Protocol protocol : PROTOCOLS) {
            EndpointConnectionPool pool = endpoint.pool(protocol);
            if (pool != null) {
                pool.addressChanged(addressFor(endpoint, protocol), restarted);
                if (!ready) {
                    pool.closeAllIdle();
                }
            }
        }
    }

    /** Drains all endpoints except these. */
    @Override
    public void retainOnly(Set<Long> endpointIds) {
        endpoints.forEach((id, endpoint) -> {
            if (!endpointIds.contains(id)) {
                addressChanged(id, endpoint.name(), endpoint.address(), false, endpoint.startedAtMs());
            }
        });
    }

    private InetSocketAddress addressFor(KnownEndpoint endpoint, OutboundRequest.Protocol protocol) {
        return protocol == OutboundRequest.Protocol.RESP
                ? endpoint.address()
                : new InetSocketAddress(endpoint.address().getAddress(), httpPort);
    }

    /**
     * Sends the attempt. If the event loop is lagging, a close by the client may be still unread: the loop reads all
     * input first, and the attempt is sent only if the request is still open then.
     */
    @Override
    public void send(Attempt attempt) {
        if (isLoopLagging()) {
            loop.timers().scheduleAfter(0, (now, token) -> sendIfWanted(attempt), 0);
        } else {
            sendNow(attempt);
        }
    }

    private void sendIfWanted(Attempt attempt) {
        if (requests.maySend(attempt)) {
            send(attempt);
        } else {
            requests.attemptEnded(attempt, Outcome.NOT_SENT, null);
        }
    }

    /** Whether the event loop was busy for so long that a client's close may be still unread. */
    boolean isLoopLagging() {
        return loop.now() - loop.lastReadAt() > LOOP_LAG_THRESHOLD_MS;
    }

    private void sendNow(Attempt attempt) {
        KnownEndpoint endpoint = endpoints.get(attempt.endpoint());
        OutboundRequest.Protocol protocol = protocolOf(attempt);
        EndpointConnectionPool pool = endpoint.pool(protocol);
        if (pool == null) {
            pool = new EndpointConnectionPool(this, protocol, endpoint.name(), addressFor(endpoint, protocol));
            endpoint.addPool(protocol, pool);
        }
        pool.send(attempt);
    }

    @Override
    public boolean abandon(Attempt attempt) {
        KnownEndpoint endpoint = endpoints.get(attempt.endpoint());
        EndpointConnectionPool pool = endpoint == null ? null : endpoint.pool(protocolOf(attempt));
        return pool != null && pool.abandon(attempt); // without a pool, the attempt waits for the next loop iteration
    }

    private static OutboundRequest.Protocol protocolOf(Attempt attempt) {
        return ((OutboundRequest) attempt.request()).protocol();
    }

    /** Closes idle connections before the endpoint does: a request sent at that moment would be reset. */
    @Override
    public void onTimer(double now, long token) {
        scheduleSweep();
        for (KnownEndpoint endpoint : endpoints.values()) {
            endpoint.closeIdleBefore(endpoint.isDraining() ? Double.MAX_VALUE : now - idleRetentionMs());
        }
        endpoints.values().removeIf(KnownEndpoint::isDrained);
    }

    private void scheduleSweep() {
        loop.timers().scheduleAfter(Math.min(MAX_SWEEP_INTERVAL_MS, idleTimeoutMs / SWEEPS_PER_IDLE_TIMEOUT), this, 0);
    }

    private double maxIdleMs() {
        return IDLE_TIMEOUT_FRACTION * idleTimeoutMs;
    }

    private double idleRetentionMs() {
        return Math.min(maxIdleMs(), Math.max(MIN_IDLE_RETENTION_MS, idleReuseLimitMs()));
    }

    /** The longest time that a connection may have been idle to carry a request that is not idempotent. */
    double idleReuseLimitMs() {
        return idleReuseLimit.at(loop.now());
    }

    void staleConnectionFound(double idleMs) {
        idleReuseLimit.staleConnectionFound(idleMs, loop.now());
    }

    double now() {
        return loop.now();
    }

    void scheduleAfter(double delayMs, TimerCallback callback) {
        loop.timers().scheduleAfter(delayMs, callback, 0);
    }

    MemoryBudget memory() {
        return loop.memory();
    }

    RateLimitedLog log() {
        return log;
    }

    /** The limit on the connections in a protocol. */
    ConnectionLimit limit(OutboundRequest.Protocol protocol) {
        return limits.get(protocol);
    }

    /**
     * Makes room for one more connection; at the limit, closes the one that has been idle the longest. Without the
     * limit, connections to hundreds of endpoints would use up the file descriptors that discovery and the quota
     * counter need.
     *
     * @return whether one more connection may be opened
     */
    boolean ensureCapacity(OutboundRequest.Protocol protocol) {
        if (!limit(protocol).isReached()) {
            return true;
        }
        EndpointConnectionPool oldestPool = null;
        EndpointConnection oldest = null;
        for (KnownEndpoint endpoint : endpoints.values()) {
            EndpointConnectionPool pool = endpoint.pool(protocol);
            EndpointConnection connection = pool == null ? null : pool.oldestIdle();
            if (connection != null && (oldest == null || connection.idleSince() < oldest.idleSince())) {
                oldestPool = pool;
                oldest = connection;
            }
        }
        if (oldest != null) {
            oldestPool.evict(oldest);
        }
        return oldest != null;
    }

    int maxConnectionsPerEndpoint() {
        return Math.max(MIN_CONNECTIONS_PER_ENDPOINT, maxConnections / Math.max(1, endpoints.size()));
    }

    void connect(InetSocketAddress address, EndpointConnection connection, ConnectListener listener) {
        loop.connect(address, connectTimeoutMs, connection, listener);
    }

    boolean maySend(Attempt attempt) {
        return requests.maySend(attempt);
    }

    void attemptEnded(Attempt attempt, Outcome outcome, Response response) {
        requests.attemptEnded(attempt, outcome, response);
    }
}
