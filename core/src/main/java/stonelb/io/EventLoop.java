package stonelb.io;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.IoHandler;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import stonelb.core.MemoryBudget;
import stonelb.core.TimerQueue;

/** The single event-loop thread that runs all connections and timers, with the clock and the alarm of the timers. */
public final class EventLoop implements TimerQueue.Alarm, InputClock {
    private static final int READ_BYTES = 16 * 1024;

    /** Maximum reads of one connection per loop iteration, so that the other connections are read too. */
    static final int MAX_READS_PER_ITERATION = 8;

    /** Limits on the output buffered for one client, in bytes: unwritable above the high one, writable below the low one. */
    private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(8 * 1024, 32 * 1024);

    private static final int LISTEN_BACKLOG = 512;
    private static final long SHUTDOWN_TIMEOUT_MS = 1000;
    private static final double NANOS_PER_MS = 1e6;

    private final EventLoopGroup loopGroup = new MultiThreadIoEventLoopGroup(1, this::createIoHandler);
    private final io.netty.channel.EventLoop nettyLoop = loopGroup.next();
    private final DoubleSupplier clock;
    private final ChannelProvider channels;
    private final TimerQueue timers = new TimerQueue(this);
    private final MemoryBudget memory;
    private final DecodeQueue decodeQueue = new DecodeQueue(this::now, this::runAfterNextRead);
    private final RateLimitedLog log;
    private ScheduledFuture<?> alarm;
    private double lastReadAt;
    private long completedReads;

    /** Creates a loop with the system clock: monotonic Unix time in milliseconds. */
    public EventLoop(RateLimitedLog log) {
        this(log, systemClock());
    }

    /** Creates a loop with a clock in milliseconds. */
    public EventLoop(RateLimitedLog log, DoubleSupplier clock) {
        this(log, clock, new NioChannelProvider());
    }

    /** Creates a loop with a clock in milliseconds and the channels of a provider. */
    public EventLoop(RateLimitedLog log, DoubleSupplier clock, ChannelProvider channels) {
        this(log, clock, channels, MemoryBudget.ofHeap());
    }

    /** Creates a loop with a clock in milliseconds, the channels of a provider and a budget of memory. */
    public EventLoop(RateLimitedLog log, DoubleSupplier clock, ChannelProvider channels, MemoryBudget memory) {
        this.memory = memory;
        this.log = log;
        this.clock = clock;
        this.channels = channels;
    }

    private static DoubleSupplier systemClock() {
        double epochMs = System.currentTimeMillis() - System.nanoTime() / NANOS_PER_MS;
        return () -> epochMs + System.nanoTime() / NANOS_PER_MS;
    }

    private IoHandler createIoHandler(ThreadAwareExecutor executor) {
        IoHandler nio = NioIoHandler.newFactory().newHandler(executor);
        return new InputTimeIoHandler(nio, this::onInputRead);
    }

    private void onInputRead(double processingMs) {
        lastReadAt = now() - processingMs;
        completedReads++;
    }

    @Override
    public double lastReadAt() {
        return lastReadAt;
    }

    @Override
    public long completedReads() {
        return completedReads;
    }

    /** The timers, which run on this thread. */
    public TimerQueue timers() {
        return timers;
    }

    /** The memory that all connections may hold for messages. */
    public MemoryBudget memory() {
        return memory;
    }

    /** The connections whose input waits to be decoded. */
    public DecodeQueue decodeQueue() {
        return decodeQueue;
    }

    /** Runs a task once all connections have been read, if called from a task or a timer of this loop. */
    public void runAfterNextRead(Runnable task) {
        // A timer that is set from a task, not from a read, runs after the next read.
        timers.scheduleAfter(0, (now, token) -> task.run(), 0);
    }

    /**
     * Runs a task on this thread.
     *
     * @throws java.util.concurrent.RejectedExecutionException if the loop has been shut down
     */
    public void execute(Runnable task) {
        nettyLoop.execute(task);
    }

    /** Shuts down the thread, all connections and all timers, without a quiet period. */
    public void shutdown() {
        var unused = loopGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public double now() {
        return clock.getAsDouble();
    }

    @Override
    public void wakeAt(double whenMs) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        long delayNanos = (long) (Math.max(0, whenMs - now()) * NANOS_PER_MS);
        alarm = nettyLoop.schedule(this::onAlarm, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void onAlarm() {
        alarm = null;
        try {
            timers.runDue();
        } catch (RuntimeException e) {
            // An exception of one timer must not stop the others.
            log.internalError(e);
            wakeAt(now());
        }
    }

    /** Opens a connection; {@code listener} receives the result. */
    public void connect(InetSocketAddress address, int timeoutMs, ChannelHandler connection, ConnectListener listener) {
        ChannelFuture connecting = new Bootstrap()
                .group(nettyLoop)
                .channelFactory(channels::newSocketChannel)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
                .handler(connection)
                .connect(address);
        // Runs after Netty's own task, which makes the system call. If no socket could be created, the future has no
        // event loop and would notify its listeners on a different Netty thread.
        nettyLoop.execute(() -> notifyResult(connecting, listener));
    }

    private static void notifyResult(ChannelFuture connecting, ConnectListener listener) {
        if (connecting.isDone()) {
            listener.onConnectResult(new ConnectResult(connecting.cause(), true));
        } else {
            connecting.addListener(result -> listener.onConnectResult(new ConnectResult(result.cause(), false)));
        }
    }

    /**
     * Listens for connections and returns once the port is bound.
     *
     * @param handlerFactory creates the handler of each accepted connection
     */
    public Channel listen(InetSocketAddress address, Supplier<ChannelHandler> handlerFactory)
            throws InterruptedException {
        return new ServerBootstrap()
                .group(nettyLoop)
                .channelFactory(channels::newServerSocketChannel)
                .handler(new AcceptFailureHandler(log))
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilDrained())
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handlerFactory.get());
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    /** Reads until no input is left, so that the end of a connection is detected together with the input before it. */
    private static RecvByteBufAllocator readUntilDrained() {
        return new FixedRecvByteBufAllocator(READ_BYTES)
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS_PER_ITERATION);
    }
}
