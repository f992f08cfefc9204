package stonelb.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes the responses of a connection in the order of its requests, as far as the socket accepts them. The others stay
 * unencoded in the queue, since memory for network buffers is scarce.
 */
final class ResponseWriter {
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** Size at which a batch of responses is written; the next batch is encoded only while the socket accepts more. */
    private static final int MAX_WRITE_BYTES = 32 * 1024;

    /** The connection to which responses are written. */
    interface Output {

        /** The time in milliseconds. */
        double now();

        /** Whether the socket currently accepts more. */
        boolean isWritable();

        /**
         * Allocates a buffer of the given initial size.
         *
         * @throws OutOfMemoryError if the memory for network buffers is exhausted, which may be temporary
         */
        ByteBuf newBuffer(int bytes);

        /** Called when a response waits for memory; {@link ResponseWriter#writeReady} is to be called again soon. */
        void onOutOfMemory();

        /** Called before the last pending response is written. */
        void beforeLastResponse();

        /** Called when responses have been removed from the queue, before they are written. */
        void afterResponsesDequeued();

        /** Writes and flushes the buffer. */
        ChannelFuture write(ByteBuf out);

        /** Called when the socket has completed a write, or the write has failed. */
        void onWriteCompleted(boolean success);
    }

    private final Output output;
    private final ArrayDeque<PendingResponse> responses = new ArrayDeque<>();
    private int pendingWrites; // writes that the socket has not completed
    private double lastWriteAt; // when a write started while none was pending, or the last one completed

    ResponseWriter(Output output) {
        this.output = output;
    }

    void add(PendingResponse response) {
        responses.add(response);
    }

    /** The number of responses that are not written yet. */
    int size() {
        return responses.size();
    }

    /** Whether all responses have been written, though the socket may not have accepted all of them. */
    boolean isEmpty() {
        return responses.isEmpty();
    }

    /** Whether writes are pending and the socket has completed none since the given time. */
    boolean isStalledSince(double timeMs) {
        return pendingWrites > 0 && lastWriteAt < timeMs;
    }

    /** Whether all responses are written, and the socket has accepted them. */
    boolean isFlushed() {
        return responses.isEmpty() && pendingWrites == 0;
    }

    /** Writes the responses at the head of the queue that are ready, as far as the socket accepts them. */
    void writeReady() {
        boolean hasMemory = true;
        while (hasMemory && isNextReady() && output.isWritable()) {
            hasMemory = writeBatch();
        }
        if (!hasMemory) {
            output.onOutOfMemory();
        }
    }

    /** Writes some responses; returns whether the memory for network buffers sufficed. */
    private boolean writeBatch() {
        ByteBuf out;
        try {
            out = output.newBuffer(INITIAL_BUFFER_BYTES);
        } catch (OutOfMemoryError e) {
            return false;
        }
        boolean hasMemory = encodeReady(out);
        if (!out.isReadable()) {
            out.release();
            return hasMemory;
        }
        output.afterResponsesDequeued();
        write(out);
        return hasMemory;
    }

    private void write(ByteBuf out) {
        if (pendingWrites++ == 0) {
            lastWriteAt = output.now();
        }
        output.write(out).addListener(write -> {
            pendingWrites--;
            lastWriteAt = output.now();
            output.onWriteCompleted(write.isSuccess());
        });
    }

    private boolean isNextReady() {
        return !responses.isEmpty() && responses.peek().isReady();
    }

    /**
     * Encodes ready responses and removes them from the queue. One for which there is not enough memory stays queued,
     * and the result is then false.
     */
    private boolean encodeReady(ByteBuf out) {
        while (isNextReady() && out.readableBytes() < MAX_WRITE_BYTES) {
            if (responses.size() == 1) {
                output.beforeLastResponse();
            }
            int start = out.writerIndex();
            try {
                responses.peek().writeResponse(out);
            } catch (OutOfMemoryError e) {
                out.writerIndex(start);
                return false;
            }
            responses.poll().onDequeued();
        }
        return true;
    }

    /** Removes all responses and returns the requests among them that are not answered yet. */
    List<FrontendRequest> removeAll() {
        List<FrontendRequest> unanswered = new ArrayList<>();
        for (PendingResponse response : responses) {
            response.onDequeued();
            if (response instanceof FrontendRequest request && !request.isDone()) {
                unanswered.add(request);
            }
        }
        responses.clear();
        return unanswered;
    }
}
