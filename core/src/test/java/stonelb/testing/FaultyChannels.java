package stonelb.testing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import stonelb.io.ChannelProvider;

/**
 * Channels on real sockets that inject failures, short reads, short writes and blocked writes. The settings may be changed
 * from any thread; the counters of failures are decremented with each failure injected.
 */
public final class FaultyChannels implements ChannelProvider {
    /** How many of the next sockets can't be created (ENFILE, ENOBUFS). */
    public final AtomicInteger failingSockets = new AtomicInteger();

    /** How many of the next connects fail immediately (EADDRNOTAVAIL, ENETUNREACH). */
    public final AtomicInteger failingConnects = new AtomicInteger();

    /** How many of the next accepts fail (ECONNABORTED, ENFILE, ENOBUFS). */
    public final AtomicInteger failingAccepts = new AtomicInteger();

    /** The number of bytes read from accepted connections. */
    public final AtomicLong bytesRead = new AtomicLong();

    /** The number of bytes read from accepted connections, by the port of the client. */
    public final Map<Integer, Long> bytesReadByPort = new ConcurrentHashMap<>();

    /** The maximum number of bytes that a read from an accepted connection returns. */
    public volatile int maxReadBytes = Integer.MAX_VALUE;

    /** The maximum number of bytes that one write accepts, on any channel. */
    public volatile int maxWriteBytes = Integer.MAX_VALUE;

    /** The total number of bytes that all sockets together still accept. */
    public final AtomicLong writeBudget = new AtomicLong(Long.MAX_VALUE);

    private static boolean consumeFault(AtomicInteger faults) {
        return faults.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    @Override
    public SocketChannel newSocketChannel() {
        if (consumeFault(failingSockets)) {
            throw new ChannelException(new SocketException("Too many open files in system"));
        }
        return new OutboundChannel();
    }

    @Override
    public ServerSocketChannel newServerSocketChannel() {
        return new ListeningChannel();
    }

    /** Writes a part of the output, as a socket with a full buffer does; false if writes are unlimited or none is pending. */
    private boolean writePartially(ChannelOutboundBuffer out, java.nio.channels.SocketChannel socket)
            throws IOException {
        boolean limited = maxWriteBytes < Integer.MAX_VALUE || writeBudget.get() < Long.MAX_VALUE;
        if (!limited || !(out.current() instanceof ByteBuf bytes)) {
            return false;
        }
        int length = (int) Math.min(writeBudget.get(), Math.min(maxWriteBytes, bytes.readableBytes()));
        writeBudget.addAndGet(-length);
        out.removeBytes(bytes.getBytes(bytes.readerIndex(), socket, length));
        return true;
    }

    /** A channel whose writes may be short. */
    private abstract class ShortWriteChannel extends NioSocketChannel {
        ShortWriteChannel() {}

        ShortWriteChannel(Channel parent, java.nio.channels.SocketChannel socket) {
            super(parent, socket);
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer out) throws Exception {
            if (writePartially(out, javaChannel())) {
                incompleteWrite(true);
            } else {
                super.doWrite(out);
            }
        }
    }

    private final class OutboundChannel extends ShortWriteChannel {
        @Override
        protected boolean doConnect(SocketAddress remoteAddress, SocketAddress localAddress) throws Exception {
            if (consumeFault(failingConnects)) {
                throw new SocketException("Network is unreachable");
            }
            return super.doConnect(remoteAddress, localAddress);
        }
    }

    private final class ListeningChannel extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (consumeFault(failingAccepts)) {
                throw new IOException("Software caused connection abort");
            }
            java.nio.channels.SocketChannel socket = javaChannel().accept();
            if (socket == null) {
                return 0;
            }
            accepted.add(new InboundChannel(this, socket));
            return 1;
        }
    }

    private final class InboundChannel extends ShortWriteChannel {
        private final int clientPort;

        InboundChannel(Channel parent, java.nio.channels.SocketChannel socket) {
            super(parent, socket);
            clientPort = socket.socket().getPort();
        }

        @Override
        protected int doReadBytes(ByteBuf buffer) throws Exception {
            int length = Math.min(buffer.writableBytes(), maxReadBytes);
            unsafe().recvBufAllocHandle().attemptedBytesRead(length);
            int read = buffer.writeBytes(javaChannel(), length);
            if (read > 0) {
                bytesRead.addAndGet(read);
                bytesReadByPort.merge(clientPort, (long) read, Long::sum);
            }
            return read;
        }
    }
}
