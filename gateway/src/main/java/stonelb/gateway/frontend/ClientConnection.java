package stonelb.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import stonelb.io.Connection;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/**
 * A connection from a client to a frontend. Responses are written in the order of the requests.
 *
 * <p>What was read as a request is answered, whatever ends the connection but its client: the output is shut down only
 * when reading has stopped, and all responses are written and taken by the socket. What has not been read is left to the
 * socket, so that the close resets the connection and the client sends it again.
 */
public abstract class ClientConnection extends Connection implements ResponseWriter.Output {
    private static final int MAX_INPUT_BYTES = 256 * 1024;

    /** Requests without a response; more are decoded once some have theirs. */
    private static final int MAX_PENDING_RESPONSES = 512;

    /** For decoding at a time, before the event loop reads all connections again. */
    private static final double DECODE_TIME_SLICE_MS = 10;

    private final Frontend frontend;
    private final ResponseWriter responses = new ResponseWriter(this);
    private final InputTracker inputTracker;
    private final InputScheduler inputScheduler;
    private final ConnectionLifecycle lifecycle = new ConnectionLifecycle();
    private double idleSince; // when it was opened or its last response was ready
    private int reportedBytes; // that the frontend accounts for as buffered here

    protected ClientConnection(Frontend frontend, RateLimitedLog log) {
        super(MAX_INPUT_BYTES, log);
        this.frontend = frontend;
        inputTracker = new InputTracker(frontend.inputClock());
        inputScheduler = new InputScheduler(frontend, inputTracker, this::resume);
    }

    final Frontend frontend() {
        return frontend;
    }

    /** Decodes and handles one message from {@link #in}; returns false if the message is incomplete. */
    protected abstract boolean readMessage() throws MalformedInputException;

    /** Whether the parser has consumed part of a message. */
    protected abstract boolean isMidMessage();

    /** Bytes of a partial message that the parser has taken from {@link #in}. */
    protected abstract int parserBytes();

    /** The response to input that breaks the protocol. */
    protected abstract PendingResponse errorResponse(String reason);

    @Override
    protected final void onOpened() {
        idleSince = frontend.now();
        inputScheduler.opened(channel());
        frontend.connections().add(this, frontend.now());
    }

    // Input.

    @Override
    protected final void onReceived() throws MalformedInputException {
        if (lifecycle.inputRead()) {
            inputTracker.received();
        } else {
            in.skip(in.size());
        }
        reportBufferedBytes();
        updateReading();
    }

    @Override
    protected final void onReadComplete(boolean drained) {
        inputScheduler.readComplete(drained);
    }

    /** Writes responses that waited for the socket, and decodes buffered input. */
    private void resume() {
        writeReadyResponses();
        try {
            if (isOpen() && lifecycle.acceptsRequests()) {
                readMessages();
            }
        } catch (MalformedInputException e) {
            onMalformed(e.getMessage());
        }
    }

    private void readMessages() throws MalformedInputException {
        double sliceEnd = frontend.now() + DECODE_TIME_SLICE_MS;
        boolean incomplete = false;
        while (lifecycle.acceptsRequests() && canReadMessage() && !incomplete) {
            incomplete = !readMessage();
            if (frontend.now() > sliceEnd) { // another client's disconnect may be waiting to be read
                inputScheduler.scheduleAfterNextRead();
                break;
            }
        }
        if (incomplete) {
            inputTracker.decoded(isMidMessage());
        }
        if (!lifecycle.acceptsRequests()) {
            in.skip(in.size());
        }
        boolean withinLimit = reportBufferedBytes();
        if (incomplete && !withinLimit && isMidMessage()) {
            abandonMessage("too many bytes of messages wait on all links");
        }
        updateReading();
    }

    private boolean canReadMessage() {
        return responses.size() < MAX_PENDING_RESPONSES && channel().isWritable();
    }

    /** Returns whether all connections together are within their limit. */
    private boolean reportBufferedBytes() {
        int previous = reportedBytes;
        reportedBytes = lifecycle.acceptsRequests() ? in.capacity() + parserBytes() : 0;
        return frontend.addBufferedBytes(reportedBytes - previous);
    }

    /**
     * Starts or stops reading. Input is read ahead of decoding up to a limit, since only reading shows that the client has
     * disconnected.
     */
    final void updateReading() {
        if (isOpen()) {
            boolean hasRoom = frontend.isReading() && inputScheduler.mayReadAhead(in.size());
            inputScheduler.setReading(lifecycle.mayRead(hasRoom));
        }
    }

    /** When the message that is being read arrived, at the latest, in milliseconds of the event loop's clock. */
    protected final double arrivalTime() {
        return inputTracker.arrivalTime();
    }

    /** Whether a disconnect of the client would be noticed now. */
    final boolean noticesDisconnect() {
        return isOpen() && inputTracker.noticesDisconnect();
    }

    // Requests and responses.

    /** Submits a request, or rejects it if the frontend is at one of its limits. */
    protected final void submit(FrontendRequest request) {
        enqueue(request);
        if (frontend.canAdmit(request)) {
            frontend.submit(request);
        } else {
            if (!frontend.isRejecting()) {
                log.warn("in-flight request limit reached", "rejecting new requests");
            }
            request.rejectOverload();
        }
    }

    /** Responds without a request to the endpoints. */
    protected final void respond(PendingResponse response) {
        enqueue(response);
        writeReadyResponses();
    }

    private void enqueue(PendingResponse response) {
        if (responses.isEmpty()) {
            frontend.connections().markBusy(this);
        }
        responses.add(response);
    }

    /** Writes the responses that are next in order and ready. A fault in one of them ends this connection alone. */
    final void writeReadyResponses() {
        try {
            if (isOpen()) {
                responses.writeReady();
            }
        } catch (RuntimeException e) {
            log.internalError(e);
            close();
        }
    }

    @Override
    public final double now() {
        return frontend.now();
    }

    @Override
    public final boolean isWritable() {
        return isOpen() && channel().isWritable();
    }

    @Override
    public final ByteBuf newBuffer(int bytes) {
        return buffer(bytes);
    }

    @Override
    public final void onOutOfMemory() {
        log.warn("network buffers exhausted", "responses wait until others are sent");
        frontend.retryWrite(this);
    }

    /** Closes with the response, since a request of an idle client is more likely to cross the close. */
    @Override
    public final void beforeLastResponse() {
        if (mayQuiesce()) {
            lifecycle.quiesce();
        }
    }

    @Override
    public final void afterResponsesTaken() {
        if (lifecycle.acceptsRequests() && in.size() > 0) {
            inputScheduler.schedule(); // the input may have waited for room in the queue
        }
        if (responses.isEmpty()) {
            idleSince = frontend.now();
        }
        updateReading();
    }

    @Override
    public final ChannelFuture write(ByteBuf out) {
        return send(out);
    }

    @Override
    public final void onWriteCompleted(boolean success) {
        if (!success) {
            close();
            return;
        }
        if (isIdle()) {
            frontend.connections().markIdle(this); // not before, or an eviction could cut the response off
            if (mayQuiesce()) {
                quiesce();
            }
        }
        shutDownIfFlushed();
    }

    @Override
    public final void channelWritabilityChanged(ChannelHandlerContext context) {
        if (isWritable()) {
            inputScheduler.schedule();
        }
    }

    // The end.

    /** Whether nothing is lost if it is closed: no request, unwritten response or undecoded message. */
    final boolean isIdle() {
        return lifecycle.acceptsRequests() && !owesResponse();
    }

    /** Whether a response is owed or on its way to the socket, or what was read may hold a request. */
    final boolean owesResponse() {
        return inputScheduler.isScheduled() || !responses.isFlushed();
    }

    /** When it was opened, or the last response was ready. */
    final double idleSince() {
        return idleSince;
    }

    /** Whether any input is here that has not become a request. */
    final boolean hasBufferedInput() {
        return in.size() > 0 || isMidMessage();
    }

    /** Closes it unless a message has just begun. */
    final void closeIfUnused() {
        if (inputScheduler.isScheduled() || hasBufferedInput()) {
            idleSince = frontend.now();
            frontend.connections().markIdle(this); // a message that stays incomplete is left to checkReadTimeout
        } else {
            close();
        }
    }

    /** Responds with an error if the rest of a message is overdue. */
    final void checkReadTimeout() {
        if (isIdle() && inputTracker.isMessageOverdue()) {
            abandonMessage("a message stays half sent");
        }
    }

    /** Closes it if the client has taken no response since before the given time, though some wait for it. */
    final void checkWriteTimeout(double timeMs) {
        if (responses.isStalledSince(timeMs)) {
            close();
        }
    }

    /** Requests that came before are still answered; then the connection is closed. */
    @Override
    protected final void onMalformed(String reason) {
        if (lifecycle.acceptsRequests()) {
            lifecycle.inputMalformed();
            respondWithError(reason);
        }
    }

    private void abandonMessage(String reason) {
        lifecycle.messageAbandoned();
        respondWithError(reason);
    }

    private void respondWithError(String reason) {
        log.warn("malformed request from client", reason);
        in.skip(in.size());
        respond(errorResponse(reason));
        updateReading();
    }

    /** Decodes no further request, as the client asked; the connection closes after its pending responses. */
    protected final void stopReading() {
        lifecycle.lastRequestRead();
    }

    /** Whether this is the last response, which is then told to the client, so that no further request is answered. */
    public final boolean announceClose() {
        return lifecycle.announceClose();
    }

    /** Closes an idle connection gracefully; a message that is incomplete is answered with an error. */
    final void drain() {
        if (hasBufferedInput()) {
            abandonMessage("the gateway shuts down");
        } else {
            quiesce();
            shutDownIfFlushed();
        }
    }

    /** Whether the connection is to be closed, and nothing that was read is still to be answered. */
    private boolean mayQuiesce() {
        return frontend.isDraining() && !hasBufferedInput();
    }

    private void quiesce() {
        lifecycle.quiesce();
        updateReading();
    }

    /** Waits for the pending writes, since a shutdown of the output drops what a slow client has not received. */
    private void shutDownIfFlushed() {
        if (!isOpen() || !responses.isFlushed()) {
            return;
        }
        if (lifecycle.isDraining()) {
            shutDownOutput();
        } else if (lifecycle.isQuiescing()) {
            // The selector may have found input already, which is then read in this turn although reading has stopped.
            channel().eventLoop().execute(this::shutDownIfQuiet);
        }
    }

    private void shutDownIfQuiet() {
        if (isOpen() && lifecycle.isQuiescing() && responses.isFlushed()) {
            shutDownOutput();
        }
    }

    @SuppressWarnings(
            "FutureReturnValueIgnored") // whatever became of it, the connection is closed after the linger time
    private void shutDownOutput() {
        // The output first: to close with unread input would reset responses on their way.
        lifecycle.outputShutDown();
        ((DuplexChannel) channel()).shutdownOutput();
        updateReading();
        frontend.closeAfterLinger(this);
    }

    @Override
    protected final void onClosed() {
        frontend.connections().remove(this);
        frontend.addBufferedBytes(-reportedBytes);
        reportedBytes = 0;
        responses.removeAll().forEach(frontend::withdraw);
    }
}
