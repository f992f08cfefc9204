package stonelb.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import stonelb.core.Attempt;
import stonelb.core.MemoryBudget;
import stonelb.core.Response;
import stonelb.core.TimerCallback;
import stonelb.decision.Outcome;
import stonelb.io.Connection;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/**
 * One connection to an endpoint. It carries one attempt at a time, so that no attempt waits behind a slow one.
 *
 * <p>After connecting, and after each response, the connection is not used for a quiet period. Input that arrives in
 * that period belongs to no request and closes the connection, so that it is not mistaken for the next response.
 */
abstract class EndpointConnection extends Connection implements TimerCallback {
    private static final int MAX_INPUT_BYTES = 256 * 1024;
    private static final int REQUEST_BUFFER_BYTES = 512;

    /** Quiet period after a response; surplus bytes, or a close right after the response, arrive within it. */
    private static final double QUIET_AFTER_RESPONSE_MS = 10;

    /** Quiet period after connecting; a reset right after the accept arrives within it, before any request is sent. */
    private static final double QUIET_AFTER_CONNECT_MS = 1;

    /**
     * A connection that is reset within this time after a request, without any response byte, was already closed at
     * the endpoint.
     */
    private static final double STALE_RESET_MS = 50;

    private static final double NEVER_IDLE = -1;

    /** Bytes of a response up to which a connection reads without waiting for memory. */
    private static final int SHORT_RESPONSE_BYTES = 16 * 1024;

    /** Memory of the longest response while it is read: the input buffer and the parts that the parser has copied. */
    private static final int LONG_RESPONSE_BYTES = 192 * 1024;

    private final EndpointConnectionPool pool;
    private final int incarnation;
    private final MemoryBudget.Account memory;
    private Attempt attempt;
    /** The write of the attempt's request; done once its last byte has been sent. */
    private ChannelFuture requestWrite;

    private double idleSince;
    /** Idle time before the current attempt, in milliseconds; {@link #NEVER_IDLE} for the first. */
    private double idleBeforeAttemptMs = NEVER_IDLE;
    /** Whether the quiet period after connecting has passed. */
    private boolean ready;
    /** Whether a quiet period has passed, and only input that arrived within it still has to be read. */
    private boolean finalReadPending;

    private boolean used;

    EndpointConnection(EndpointConnectionPool pool, RateLimitedLog log) {
        super(MAX_INPUT_BYTES, log);
        this.pool = pool;
        incarnation = pool.incarnation();
        memory = pool.memory().responses().openForIncomplete();
    }

    /** The incarnation of the endpoint that this connection was opened to. */
    final int incarnation() {
        return incarnation;
    }

    /** When the connection last became idle, in milliseconds of the event loop's clock. */
    final double idleSince() {
        return idleSince;
    }

    /** Whether no close of the connection has been seen; a close by the endpoint may not have arrived yet. */
    final boolean isUsable() {
        return isOpen();
    }

    /**
     * Sends the attempt's request. The connection must be idle.
     *
     * @return false if there is no memory for the request; nothing was sent then
     */
    final boolean send(Attempt newAttempt) {
        OutboundRequest request = (OutboundRequest) newAttempt.request();
        ByteBuf out = encode(request, newAttempt.deadline());
        if (out == null) {
            return false;
        }
        attempt = newAttempt;
        idleBeforeAttemptMs = used ? pool.now() - idleSince : NEVER_IDLE;
        used = true;
        newAttempt.connection(this);
        beforeRequest(request);
        requestWrite = send(out);
        return true;
    }

    /** The request with the time left until its deadline, or null if the memory for network buffers is exhausted. */
    private ByteBuf encode(OutboundRequest request, double deadline) {
        ByteBuf out = null;
        try {
            out = buffer(REQUEST_BUFFER_BYTES);
            long remainingMs = Math.max(1, (long) (deadline - pool.now()));
            request.writeTo(out, remainingMs, pool.authority());
            return out;
        } catch (OutOfMemoryError e) {
            log.warn("network buffers exhausted", "requests are not sent until buffers are released");
            if (out != null) {
                out.release();
            }
            return null;
        }
    }

    /** Queries the write's future, since a listener on it may be notified too late. */
    private boolean isRequestWritten() {
        return requestWrite.isSuccess();
    }

    /** Called before a request is written. */
    protected void beforeRequest(OutboundRequest request) {}

    /**
     * Cancels the attempt by closing the connection, the only form of cancellation that endpoints support.
     *
     * @return whether the request was written, so that it may be executed
     */
    final boolean abandon() {
        attempt = null;
        boolean written = isRequestWritten(); // before the close, which fails a write that is still pending
        close();
        return written;
    }

    /** Parses the response to the current attempt, if all of it has arrived. */
    protected abstract void readResponse() throws MalformedInputException;

    /** Bytes of a partial response that the parser has consumed from {@link #in}. */
    protected abstract int parserBytes();

    /** Called when the connection closes during an attempt; the end of the input may complete its response. */
    protected void onEndOfInput() {}

    /**
     * Ends the current attempt, whose response is complete.
     *
     * @param outcome how the attempt ended
     * @param response the response to forward, or null unless the outcome is OK
     * @param reusable whether the connection can carry another attempt; it is closed otherwise, and also if the
     *     response arrived before the whole request was written, since the rest would be sent ahead of the next
     *     request
     */
    protected final void completeAttempt(Outcome outcome, Response response, boolean reusable) {
        Attempt completed = attempt;
        attempt = null;
        completed.connection(null);
        if (!reusable || !isRequestWritten()) {
            close();
        } else if (isOpen()) {
            idleSince = pool.now();
            pool.scheduleAfter(QUIET_AFTER_RESPONSE_MS, this);
        }
        pool.attemptEnded(completed, outcome, response);
    }

    /**
     * Ends a quiet period. A busy event loop may run this timer before it has read input that arrived in time, so the
     * connection waits for one more iteration of the loop, which reads all input between two runs of the timers.
     */
    @Override
    public final void onTimer(double now, long token) {
        if (!isOpen()) {
            return; // onClosed has reported it
        }
        if (!finalReadPending || pool.isLoopLagging()) {
            finalReadPending = true;
            pool.scheduleAfter(0, this);
            return;
        }
        finalReadPending = false;
        if (ready) {
            pool.connectionIdle(this);
        } else {
            ready = true;
            pool.connectionReady(this);
        }
    }

    @Override
    protected final void onOpened() {
        idleSince = pool.now();
        pool.scheduleAfter(QUIET_AFTER_CONNECT_MS, this);
    }

    @Override
    protected final void onReceived() throws MalformedInputException {
        if (attempt != null) {
            readResponse();
        } else if (in.size() > 0) {
            throw new MalformedInputException("response without a request");
        }
        accountResponse();
    }

    private void accountResponse() {
        int bytes = in.capacity() + parserBytes();
        boolean isShort = bytes <= SHORT_RESPONSE_BYTES;
        if (!isOpen() || (!isShort && memory.isReserved())) {
            return;
        }
        memory.set(bytes);
        if (!isShort) {
            reserveLongResponse();
        }
    }

    /** Reads on if there is memory for the longest response, else once there is. */
    private void reserveLongResponse() {
        if (!isOpen()) {
            return; // onClosed has released the memory
        }
        boolean reserved = memory.reserve(LONG_RESPONSE_BYTES, this::reserveLongResponse);
        if (!reserved) {
            log.warn("memory for responses used up", "long responses of endpoints are read later");
        }
        channel().config().setAutoRead(reserved);
    }

    @Override
    protected final void onMalformed(String reason) {
        log.warn("malformed response from endpoint", pool.endpointName() + ", " + reason);
        idleBeforeAttemptMs = NEVER_IDLE; // the connection was not stale: malformed input closes it
        close(); // onClosed ends the attempt with outcome RESET
    }

    @Override
    protected final void onClosed() {
        memory.set(0);
        if (attempt != null) {
            onEndOfInput();
        }
        Attempt interrupted = attempt;
        attempt = null;
        if (!ready) {
            pool.connectFailed();
            return;
        }
        if (interrupted != null && wasStale(interrupted)) {
            pool.staleConnectionFound(idleBeforeAttemptMs);
        }
        pool.connectionClosed(this);
        if (interrupted != null) {
            interrupted.connection(null);
            pool.attemptEnded(interrupted, isRequestWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }
    }

    private boolean wasStale(Attempt interrupted) {
        return idleBeforeAttemptMs >= 0 && in.size() == 0 && pool.now() - interrupted.startedAt() < STALE_RESET_MS;
    }
}
