package stonelb.gateway.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The responses that a connection owes, in the order of its requests. They are written as far as the socket takes them:
 * what it does not take waits as it is, and not in network buffers, of which there are few.
 */
final class ResponseWriter {
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** Bytes of responses in one write; more are written once the socket has taken these. */
    private static final int MAX_WRITE_BYTES = 32 * 1024;

    /** The connection on which responses are written. */
    interface Output {

        /** The time in milliseconds. */
        double now();

        /** Whether the socket takes more at present. */
        boolean isWritable();

        /**
         * A new buffer of that initial size.
         *
         * @throws OutOfMemoryError if the memory for network buffers is used up, as it may be for a moment
         */
        ByteBuf newBuffer(int bytes);

        /** Called when a response waits for memory; {@link ResponseWriter#writeReady} is to be called again soon. */
        void onOutOfMemory();

        /** Called before the last response that is owed is written. */
        void beforeLastResponse();

        /** Called when responses have been taken off the queue, before they are written. */
        void afterResponsesTaken();

        /** Writes and flushes the buffer. */
        ChannelFuture write(ByteBuf out);

        /** Called when the socket has completed a write, or the write has failed. */
        void onWriteCompleted(boolean success);
    }

    private final Output output;
    private final ArrayDeque<PendingResponse> responses = new ArrayDeque<>();
    private int pendingWrites; // that the socket has not completed
    private double lastWriteAt; // when a write was begun while none was pending, or the last one was completed

    ResponseWriter(Output output) {
        this.output = output;
    }

    void add(PendingResponse response) {
        responses.add(response);
    }

    /** The number of responses that are owed and not written. */
    int size() {
        return responses.size();
    }

    /** Whether no response is owed, though one may still be on its way to the socket. */
    boolean isEmpty() {
        return responses.isEmpty();
    }

    /** Whether the socket has taken no response since before the given time, though some wait for it. */
    boolean isStalledSince(double timeMs) {
        return pendingWrites > 0 && lastWriteAt < timeMs;
    }

    /** Whether all responses are written, and the socket has taken them. */
    boolean isFlushed() {
        return responses.isEmpty() && pendingWrites == 0;
    }

    /** Writes the responses at the head of the queue that are ready, as far as the socket takes them. */
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
        output.afterResponsesTaken();
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

    /** Takes responses off the queue; one for which there is no memory stays. Returns whether there was. */
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
            responses.poll();
        }
        return true;
    }

    /** Removes all responses and returns the requests among them that have none yet. */
    List<FrontendRequest> removeAll() {
        List<FrontendRequest> unanswered = new ArrayList<>();
        for (PendingResponse response : responses) {
            if (response instanceof FrontendRequest request && !request.isDone()) {
                unanswered.add(request);
            }
        }
        responses.clear();
        return unanswered;
    }
}
