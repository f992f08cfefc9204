package stonelb.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import stonelb.io.Connection;
import stonelb.io.DecodeQueue;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/**
 * A connection from a client to a frontend. Responses are written in the order of the requests.
 *
 * <p>Every request that was read is answered unless the client disconnects: the output is shut down only after reading
 * has stopped and the socket has accepted all responses. Input that was not read stays in the socket, so that closing
 * resets the connection and the client sends it again.
 */
public abstract class ClientConnection extends Connection implements ResponseWriter.Output {
    private static final int MAX_INPUT_BYTES = 256 * 1024;

    private final Frontend frontend;
    private final ResponseWriter responses = new ResponseWriter(this);
    private final InputTracker inputTracker;
    private final InputScheduler inputScheduler;
    private final ConnectionLifecycle lifecycle = new ConnectionLifecycle();
    private double idleSince; // when it was opened or its last response became ready
    private final InputMemory inputMemory;

    protected ClientConnection(Frontend frontend, RateLimitedLog log) {
        super(MAX_INPUT_BYTES, log);
        this.frontend = frontend;
        inputMemory = new InputMemory(frontend.memory().input());
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

    /** Bytes of a partial message that the parser has consumed from {@link #in}. */
    protected abstract int parserBytes();

    /** The response to input that violates the protocol. */
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
        accountInput();
        updateReading();
    }

    @Override
    protected final void onReadComplete(boolean drained) {
        inputScheduler.readComplete(drained);
    }

    /** Writes responses that could not be written before, and decodes buffered input. */
    private void resume() {
        writeReadyResponses();
        closeOnException(() -> {
            try {
                readMessages();
            } catch (MalformedInputException e) {
                onMalformed(e.getMessage());
            }
        });
    }

    private void readMessages() throws MalformedInputException {
        if (!lifecycle.acceptsRequests()) {
            return;
        }
        double turnEnd = frontend.now() + DecodeQueue.TURN_MS;
        boolean incomplete = false;
        while (lifecycle.acceptsRequests()
                && inputMemory.mayAddResponse(responses.size())
                && isWritable()
                && !incomplete) {
            incomplete = !readMessage();
            if (frontend.now() > turnEnd) {
                inputScheduler.schedule();
                break;
            }
        }
        if (incomplete) {
            inputTracker.decoded(isMidMessage());
        }
        if (!lifecycle.acceptsRequests()) {
            in.skip(in.size());
        }
        accountInput();
        frontend.releaseInputMemory();
        updateReading();
    }

    private void accountInput() {
        inputMemory.set(bufferedBytes(), responses.size());
    }

    private int bufferedBytes() {
        return lifecycle.acceptsRequests() ? in.capacity() + parserBytes() : 0;
    }

    /** Bytes held for a message that is incomplete, 0 if there is none. */
    final int partialMessageBytes() {
        return isMidMessage() ? bufferedBytes() : 0;
    }

    /** Answers a partial message with an error, to release its memory. */
    final void abandonMessageForMemory() {
        abandonMessage("too many bytes of messages wait on all links");
        accountInput();
    }

    /**
     * Starts or stops reading. Input is read ahead of decoding, up to a limit, because a disconnect is detected only by
     * reading.
     */
    final void updateReading() {
        if (isOpen()) {
            boolean hasRoom = frontend.isReading() && inputScheduler.mayReadAhead(in.size());
            inputScheduler.setReading(lifecycle.mayRead(hasRoom));
        }
    }

    /** The latest time at which the message being read can have arrived, in milliseconds of the event loop's clock. */
    protected final double arrivalTime() {
        return inputTracker.arrivalTime();
    }

    /** Whether a disconnect of the client would be detected now. */
    final boolean canDetectDisconnect() {
        return isOpen() && inputTracker.canDetectDisconnect();
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

    /** Responds without sending a request to an endpoint. */
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

    /** Writes the responses that are ready, in order. */
    final void writeReadyResponses() {
        closeOnException(responses::writeReady);
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
        log.warn("network buffers exhausted", "responses are delayed until buffers are released");
        frontend.retryWrite(this);
    }

    /**
     * Announces the close with the last response, since a later close is more likely to coincide with a new request.
     */
    @Override
    public final void beforeLastResponse() {
        if (mayQuiesce()) {
            lifecycle.quiesce();
        }
    }

    @Override
    public final void afterResponsesDequeued() {
        if (lifecycle.acceptsRequests() && in.size() > 0) {
            inputScheduler.schedule(); // decoding may have paused because the response queue was full
        }
        if (responses.isEmpty()) {
            idleSince = frontend.now();
        }
        accountInput();
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
            frontend.connections().markIdle(this); // not earlier: an eviction could cut off the response
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

    // Closing.

    /** Whether closing loses nothing: no request, unwritten response or undecoded message. */
    final boolean isIdle() {
        return lifecycle.acceptsRequests() && !hasPendingWork();
    }

    /** Whether a response is pending or not fully written, or input that was read may contain a request. */
    final boolean hasPendingWork() {
        return inputScheduler.isScheduled() || !responses.isFlushed();
    }

    /** When the connection was opened or its last response became ready. */
    final double idleSince() {
        return idleSince;
    }

    /** Whether there is input that has not been decoded into a request. */
    final boolean hasBufferedInput() {
        return in.size() > 0 || isMidMessage();
    }

    /** Closes the connection unless input is buffered or about to be decoded. */
    final void closeIfUnused() {
        if (inputScheduler.isScheduled() || hasBufferedInput()) {
            idleSince = frontend.now();
            frontend.connections().markIdle(this); // checkReadTimeout handles a message that stays incomplete
        } else {
            close();
        }
    }

    /** Responds with an error if the rest of a message has not arrived in time. */
    final void checkReadTimeout() {
        if (isIdle() && inputTracker.isMessageOverdue()) {
            abandonMessage("a message stays half sent");
        }
    }

    /** Closes the connection if writes are pending and the client has accepted none since the given time. */
    final void checkWriteTimeout(double timeMs) {
        if (responses.isStalledSince(timeMs)) {
            close();
        }
    }

    /** Answers the requests that came before the malformed input, then closes the connection. */
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

    /** Decodes no further requests and closes the connection after its pending responses, as the client asked. */
    protected final void closeAfterPendingResponses() {
        lifecycle.lastRequestRead();
    }

    /**
     * Whether the response being written is the last. If so, it announces the close, and no further request is
     * answered.
     */
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

    /** Whether the frontend is draining and no input is buffered that may still need a response. */
    private boolean mayQuiesce() {
        return frontend.isDraining() && !hasBufferedInput();
    }

    private void quiesce() {
        lifecycle.quiesce();
        updateReading();
    }

    /** Shuts down the output, but only after all writes: it would drop data that a slow client has not received. */
    private void shutDownIfFlushed() {
        if (!isOpen() || !responses.isFlushed()) {
            return;
        }
        if (lifecycle.isDraining()) {
            shutDownOutput();
        } else if (lifecycle.isQuiescing()) {
            // The selector may already have reported input, which is then read in this event loop iteration although
            // reading has stopped.
            channel().eventLoop().execute(() -> {
                if (isOpen() && lifecycle.isQuiescing() && responses.isFlushed()) {
                    shutDownOutput();
                }
            });
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the connection is closed after the linger time in any case
    private void shutDownOutput() {
        // Output first: closing with unread input would reset the connection and lose responses in transit.
        lifecycle.outputShutDown();
        ((DuplexChannel) channel()).shutdownOutput();
        updateReading();
        frontend.closeAfterLinger(this);
    }

    @Override
    protected final void onClosed() {
        frontend.connections().remove(this);
        inputMemory.close();
        responses.removeAll().forEach(frontend::clientDisconnected);
    }
}
