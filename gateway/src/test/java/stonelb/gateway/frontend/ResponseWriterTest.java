package stonelb.gateway.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Responses are written in order, and wait while the socket is not writable or memory is exhausted. */
class ResponseWriterTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final StringBuilder written = new StringBuilder();
    private final RecordingOutput output = new RecordingOutput();
    private final ResponseWriter writer = new ResponseWriter(output);

    private final class RecordingOutput implements ResponseWriter.Output {
        private boolean writable = true;
        private int buffersToFail;
        private int outOfMemoryCalls;

        @Override
        public double now() {
            return 0;
        }

        @Override
        public boolean isWritable() {
            return writable;
        }

        @Override
        public ByteBuf newBuffer(int bytes) {
            if (buffersToFail > 0) {
                buffersToFail--;
                throw new OutOfMemoryError("no network buffer");
            }
            return Unpooled.buffer(bytes);
        }

        @Override
        public void onOutOfMemory() {
            outOfMemoryCalls++;
        }

        @Override
        public void beforeLastResponse() {}

        @Override
        public void afterResponsesDequeued() {}

        @Override
        public ChannelFuture write(ByteBuf out) {
            written.append(out.toString(StandardCharsets.US_ASCII));
            out.release();
            return channel.newSucceededFuture();
        }

        @Override
        public void onWriteCompleted(boolean success) {
            assertTrue(success);
        }
    }

    private static CompletedResponse response(String text) {
        return out -> out.writeCharSequence(text, StandardCharsets.US_ASCII);
    }

    /** A response whose first write runs out of memory after part of it was written. */
    private static CompletedResponse responseFailingOnce(String text) {
        boolean[] failed = new boolean[1];
        return out -> {
            out.writeCharSequence(text, StandardCharsets.US_ASCII);
            if (!failed[0]) {
                failed[0] = true;
                throw new OutOfMemoryError("no network buffer");
            }
        };
    }

    @Test
    void responsesWaitForABufferAndAreWrittenInOrder() {
        output.buffersToFail = 1;
        writer.add(response("a"));
        writer.add(response("b"));
        writer.writeReady();
        assertEquals("", written.toString());
        assertEquals(1, output.outOfMemoryCalls);
        assertFalse(writer.isFlushed());
        writer.writeReady();
        assertEquals("ab", written.toString());
        channel.runPendingTasks();
        assertTrue(writer.isFlushed());
    }

    @Test
    void responseThatRunsOutOfMemoryIsRewrittenCompletely() {
        writer.add(response("a"));
        writer.add(responseFailingOnce("b"));
        writer.add(response("c"));
        writer.writeReady();
        assertEquals("a", written.toString());
        assertEquals(1, output.outOfMemoryCalls);
        writer.writeReady();
        assertEquals("abc", written.toString());
    }

    @Test
    void responsesStayQueuedWhileTheSocketIsNotWritable() {
        output.writable = false;
        writer.add(response("a"));
        writer.writeReady();
        assertEquals("", written.toString());
        assertFalse(writer.isEmpty());
        output.writable = true;
        writer.writeReady();
        assertEquals("a", written.toString());
    }
}
