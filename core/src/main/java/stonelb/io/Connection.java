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
    /** The input that is not consumed yet. */
    protected final InputBuffer in;

    /** The log of the program. */
    protected final RateLimitedLog log;

    private Channel channel;
    private boolean closed;
    private int readsInTurn;

    /** Closed by this side, by a reset or by a failed write: not by the peer's regular end of its output. */
    private boolean aborted;

    /** Creates a connection that is not open; {@code maxInputBytes} bounds the input that is not consumed. */
    protected Connection(int maxInputBytes, RateLimitedLog log) {
        in = new InputBuffer(maxInputBytes);
        this.log = log;
    }

    /** Called when the connection is open. */
    protected abstract void onOpened();

    /**
     * Called when bytes have been added to {@link #in}.
     *
     * @throws MalformedInputException if the input breaks the protocol
     */
    protected abstract void onReceived() throws MalformedInputException;

    /**
     * Called after the reads of one turn of the event loop.
     *
     * @param drained whether all input that had arrived was read; if not, the next turn goes on reading
     */
    protected void onReadComplete(boolean drained) {}

    /** Called when the input breaks the protocol or the limit of the buffer. */
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

    /** A new output buffer of that initial size in bytes. */
    protected final ByteBuf buffer(int size) {
        return channel.alloc().buffer(size);
    }

    /** Writes and flushes; the buffer is released. */
    protected final ChannelFuture send(ByteBuf out) {
        ChannelFuture write = channel.writeAndFlush(out);
        if (!write.isSuccess()) {
            write.addListener(completed -> aborted |= !completed.isSuccess());
        }
        return write;
    }

    /** Whether the peer ended its output in the regular way, so that what it sent is complete. */
    protected final boolean peerEnded() {
        return closed && !aborted;
    }

    /** Closes the connection, if it was ever open. */
    public final void close() {
        if (channel != null) {
            aborted |= channel.isActive();
            var unused = channel.close(); // channelInactive tells of the end
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
        readsInTurn++;
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
        boolean drained = readsInTurn < EventLoop.MAX_READS_PER_TURN;
        readsInTurn = 0;
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
        var unused = context.close(); // channelInactive tells of the end
    }
}
