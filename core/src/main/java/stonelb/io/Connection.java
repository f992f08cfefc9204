package stonelb.io;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;

/**
 * A TCP connection with callbacks for its events, all on the event-loop thread. It owns its input buffer, and consumes
 * input by {@link InputBuffer#skip}.
 */
public abstract class Connection extends ChannelInboundHandlerAdapter {
    /** The unconsumed input. */
    protected final InputBuffer in;

    /** The log of the program. */
    protected final RateLimitedLog log;

    private Channel channel;
    private boolean closed;
    private int readsInIteration;

    /** Closed by this side, by a reset or by a failed write, rather than by the peer's orderly shutdown. */
    private boolean aborted;

    /** Creates a connection that is not yet open; {@code maxInputBytes} bounds the unconsumed input. */
    protected Connection(int maxInputBytes, RateLimitedLog log) {
        in = new InputBuffer(maxInputBytes);
        this.log = log;
    }

    /** Called when the connection is open. */
    protected abstract void onOpened();

    /**
     * Called when bytes have been added to {@link #in}.
     *
     * @throws MalformedInputException if the input violates the protocol
     */
    protected abstract void onReceived() throws MalformedInputException;

    /**
     * Called after the reads of one event-loop iteration.
     *
     * @param drained whether all input that had arrived was read; if not, reading continues in the next iteration
     */
    protected void onReadComplete(boolean drained) {}

    /** Called when the input violates the protocol or exceeds the limit of the buffer. */
    protected abstract void onMalformed(String reason);

    /** Called once when an open connection has been closed by either side. */
    protected abstract void onClosed();

    /** The channel; null until the connection is open. */
    protected final Channel channel() {
        return channel;
    }

    /** Whether the connection is open. */
    protected final boolean isOpen() {
        return channel != null && !closed && channel.isActive();
    }

    /** Allocates an output buffer of the given initial size in bytes. */
    protected final ByteBuf buffer(int size) {
        return channel.alloc().buffer(size);
    }

    /** Writes and flushes the buffer, which is then released. */
    protected final ChannelFuture send(ByteBuf out) {
        ChannelFuture write = channel.writeAndFlush(out);
        if (!write.isSuccess()) {
            write.addListener(completed -> aborted |= !completed.isSuccess());
        }
        return write;
    }

    /** Whether the peer closed the connection in an orderly way, so that the input received is complete. */
    protected final boolean peerClosedCleanly() {
        return closed && !aborted;
    }

    /** Runs a task of this connection unless it is closed. An exception in it closes only this connection. */
    protected final void closeOnException(Runnable task) {
        try {
            if (isOpen()) {
                task.run();
            }
        } catch (RuntimeException e) {
            log.internalError(e);
            close();
        }
    }

    /** Closes the connection, if it was ever open. */
    public final void close() {
        if (channel != null) {
            aborted |= channel.isActive();
            var unused = channel.close(); // channelInactive reports the close
        }
    }

    @Override
    public final void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        onOpened();
    }

    @Override
    public final void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        readsInIteration++;
        try {
            if (!closed) {
                in.append(bytes);
                onReceived();
            }
        } catch (MalformedInputException e) {
            onMalformed(e.getMessage());
        } finally {
            bytes.release();
        }
    }

    @Override
    public final void channelReadComplete(ChannelHandlerContext context) {
        boolean drained = readsInIteration < EventLoop.MAX_READS_PER_ITERATION;
        readsInIteration = 0;
        if (!closed) {
            onReadComplete(drained);
        }
    }

    @Override
    public final void channelInactive(ChannelHandlerContext context) {
        if (!closed) {
            closed = true;
            onClosed();
        }
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        aborted = true;
        if (!(cause instanceof IOException)) {
            log.internalError(cause);
        }
        var unused = context.close(); // channelInactive reports the close
    }
}
