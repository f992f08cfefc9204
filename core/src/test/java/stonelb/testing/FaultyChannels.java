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
 * Channels on the sockets of the system that fail, shorten or delay on command, as the system does under faults. Commands
 * may come from any thread; counters count down with each fault.
 */
public final class FaultyChannels implements ChannelProvider {
    /** How many further sockets can't be created (ENFILE, ENOBUFS). */
    public final AtomicInteger failingSockets = new AtomicInteger();

    /** How many further connects fail at once (EADDRNOTAVAIL, ENETUNREACH). */
    public final AtomicInteger failingConnects = new AtomicInteger();

    /** How many further accepts fail (ECONNABORTED, ENFILE, ENOBUFS). */
    public final AtomicInteger failingAccepts = new AtomicInteger();

    /** How many bytes were read from accepted connections. */
    public final AtomicLong bytesRead = new AtomicLong();

    /** The same by the port of the client. */
    public final Map<Integer, Long> bytesReadByPort = new ConcurrentHashMap<>();

    /** The most bytes that a read of an accepted connection returns. */
    public volatile int maxReadBytes = Integer.MAX_VALUE;

    /** The most bytes that a write takes at a time, on any channel. */
    public volatile int maxWriteBytes = Integer.MAX_VALUE;

    /** How many bytes the sockets take in all before they take no more. */
    public final AtomicLong writeBudget = new AtomicLong(Long.MAX_VALUE);

    private static boolean takeOne(AtomicInteger faults) {
        return faults.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    @Override
    public SocketChannel newSocketChannel() {
        if (takeOne(failingSockets)) {
            throw new ChannelException(new SocketException("Too many open files in system"));
        }
        return new OutboundChannel();
    }

    @Override
    public ServerSocketChannel newServerSocketChannel() {
        return new ListeningChannel();
    }

    /** Writes a part of what is to be written, as a full socket does; returns whether there was anything to write. */
    private boolean writePart(ChannelOutboundBuffer out, java.nio.channels.SocketChannel socket) throws IOException {
        boolean limited = maxWriteBytes < Integer.MAX_VALUE || writeBudget.get() < Long.MAX_VALUE;
        if (!limited || !(out.current() instanceof ByteBuf bytes)) {
            return false;
        }
        int length = (int) Math.min(writeBudget.get(), Math.min(maxWriteBytes, bytes.readableBytes()));
        writeBudget.addAndGet(-length);
        out.removeBytes(bytes.getBytes(bytes.readerIndex(), socket, length));
        return true;
    }

    /** A channel whose writes are shortened. */
    private abstract class ShortWriteChannel extends NioSocketChannel {
        ShortWriteChannel() {}

        ShortWriteChannel(Channel parent, java.nio.channels.SocketChannel socket) {
            super(parent, socket);
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer out) throws Exception {
            if (writePart(out, javaChannel())) {
                incompleteWrite(true);
            } else {
                super.doWrite(out);
            }
        }
    }

    private final class OutboundChannel extends ShortWriteChannel {
        @Override
        protected boolean doConnect(SocketAddress remoteAddress, SocketAddress localAddress) throws Exception {
            if (takeOne(failingConnects)) {
                throw new SocketException("Network is unreachable");
            }
            return super.doConnect(remoteAddress, localAddress);
        }
    }

    private final class ListeningChannel extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (takeOne(failingAccepts)) {
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
