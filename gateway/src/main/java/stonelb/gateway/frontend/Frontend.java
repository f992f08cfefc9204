package stonelb.gateway.frontend;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import stonelb.core.MemoryBudget;
import stonelb.core.RequestTable;
import stonelb.core.TimerCallback;
import stonelb.io.EventLoop;
import stonelb.io.InputClock;
import stonelb.io.RateLimitedLog;

/**
 * Listens for client connections and admits their requests to the request table, within limits on connections, requests
 * in flight and memory.
 *
 * <p>Not thread-safe: all methods except {@link #listen} are called on the event loop.
 */
public abstract class Frontend implements TimerCallback {
    /** Retry-After of a request that is rejected because a limit of the frontend is reached. */
    static final double OVERLOAD_RETRY_AFTER_MS = 500;

    private static final double SWEEP_INTERVAL_MS = 250;

    /** Delay before the connection is closed, for the client to receive its last responses. */
    private static final double CLOSE_LINGER_MS = 200;

    /** Delay before a response for which there was no network buffer is written again. */
    private static final double WRITE_RETRY_MS = 5;

    private final EventLoop loop;
    private final InputClock inputClock;
    private final RateLimitedLog log;
    private final RequestTable requestTable;
    private final int maxOpenRequests;
    private final ConnectionRegistry connections;
    private Channel listener;
    private boolean draining;
    private boolean rejecting;
    private boolean reading = true;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param inputClock provides the times of reads from client connections: the event loop itself, except for
     *     synthetic input
     * @param maxOpenRequests limit on requests in flight, over all frontends of the request table
     * @param maxConnections limit on the client connections of this frontend
     */
    protected Frontend(
            EventLoop loop,
            InputClock inputClock,
            RateLimitedLog log,
            RequestTable requestTable,
            int maxOpenRequests,
            int maxConnections) {
        this.loop = loop;
        this.inputClock = inputClock;
        this.log = log;
        this.requestTable = requestTable;
        this.maxOpenRequests = maxOpenRequests;
        connections = new ConnectionRegistry(log, maxConnections);
    }

    /** Creates the handler of one accepted connection. */
    protected abstract ClientConnection accept(RateLimitedLog log);

    /**
     * Starts to listen. Must not be called on the event loop, which it waits for.
     *
     * @return the bound address, with the actual port where {@code address} has port 0
     */
    public final InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        Channel opened = loop.listen(address, () -> accept(log));
        loop.execute(() -> {
            listener = opened;
            loop.timers().scheduleAfter(SWEEP_INTERVAL_MS, this, 0);
        });
        return (InetSocketAddress) opened.localAddress();
    }

    /** The event loop's clock, in milliseconds. */
    public final double now() {
        return loop.now();
    }

    final InputClock inputClock() {
        return inputClock;
    }

    /** Closes unused connections and reschedules itself. */
    @Override
    public final void onTimer(double now, long token) {
        loop.timers().scheduleAfter(SWEEP_INTERVAL_MS, this, 0);
        connections.closeExpired(now);
    }

    final ConnectionRegistry connections() {
        return connections;
    }

    final MemoryBudget memory() {
        return loop.memory();
    }

    /** Whether so much input is buffered that connections should read less ahead. */
    final boolean isUnderMemoryPressure() {
        return memory().input().isUnderPressure();
    }

    /** Abandons the largest partial messages of this frontend's connections until all input is within its limit. */
    final void releaseInputMemory() {
        while (!memory().input().fits(0) && connections.abandonLargestMessage()) {
            log.warn("memory for client input used up", "the largest incomplete message is answered with an error");
        }
    }

    final boolean canAdmit(FrontendRequest request) {
        return !rejecting
                && requestTable.openRequests() < maxOpenRequests
                && memory().requests().fits(request.sizeBytes());
    }

    final void submit(FrontendRequest request) {
        request.memory().set(request.sizeBytes());
        requestTable.submit(request);
    }

    /** Called when the request has its response, whether it was submitted or not, or its client has disconnected. */
    final void requestEnded(FrontendRequest request) {
        request.memory().set(0);
        onRequestEnded(request);
    }

    /** Called once per request when it ends, to release what is kept while it is open. */
    protected void onRequestEnded(FrontendRequest request) {}

    /** Called when the client of the request has disconnected. */
    final void clientDisconnected(FrontendRequest request) {
        requestEnded(request);
        requestTable.withdraw(request);
    }

    /** The event loop on which all methods run. */
    final EventLoop loop() {
        return loop;
    }

    /** Has the connection write its responses after a delay in which others may have released memory. */
    final void retryWrite(ClientConnection connection) {
        loop.timers().scheduleAfter(WRITE_RETRY_MS, (now, token) -> connection.writeReadyResponses(), 0);
    }

    /** Closes the connection after a delay in which the client can receive what was written. */
    final void closeAfterLinger(ClientConnection connection) {
        loop.timers().scheduleAfter(CLOSE_LINGER_MS, (now, token) -> connection.close(), 0);
    }

    /**
     * Starts draining: each connection closes after its next response. New connections are still accepted, since a
     * client whose request was in transit at the close sends it again.
     */
    public final void startDraining() {
        draining = true;
    }

    final boolean isDraining() {
        return draining;
    }

    /** Rejects all further requests. */
    public final void rejectNewRequests() {
        rejecting = true;
    }

    final boolean isRejecting() {
        return rejecting;
    }

    /**
     * Closes idle connections, longest idle first and a few per call.
     *
     * @param all whether to close every idle connection, including those with part of a message
     */
    public final void closeIdleConnections(boolean all) {
        connections.drainIdle(all);
    }

    /**
     * Stops reading and accepting connections, as the last step before the program exits. Requests that have been read
     * are still answered; other input stays in the sockets.
     */
    public final void stopReading() {
        reading = false;
        if (listener != null) {
            listener.config().setAutoRead(false);
        }
        connections.updateReading();
    }

    final boolean isReading() {
        return reading;
    }

    /** Whether a response is pending on any connection. */
    public final boolean hasPendingResponses() {
        return connections.hasPendingResponses();
    }

    /** Whether no client connection is open. */
    public final boolean hasNoConnections() {
        return connections.isEmpty();
    }
}
