package stonelb.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import stonelb.testing.FaultyChannels;

/** Tests the event loop when system calls fail. */
class EventLoopTest {
    private static final int CLIENTS = 3;

    private final FaultyChannels channels = new FaultyChannels();
    private final EventLoop loop =
            new EventLoop(new RateLimitedLog(line -> {}), () -> System.nanoTime() / 1e6, channels);

    @AfterEach
    void stop() {
        loop.shutdown();
    }

    /** All state is confined to the event-loop thread: a result reported on another thread would corrupt it. */
    @Test
    void reportsFailedSocketOnEventLoopAfterConnectReturns() throws Exception {
        channels.failingSockets.set(1);
        CompletableFuture<Thread> loopThread = new CompletableFuture<>();
        CompletableFuture<Thread> resultThread = new CompletableFuture<>();
        CompletableFuture<Boolean> reportedDuringCall = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            loop.execute(() -> {
                loopThread.complete(Thread.currentThread());
                loop.connect(
                        (InetSocketAddress) listener.getLocalSocketAddress(),
                        1000,
                        new ChannelInboundHandlerAdapter(),
                        result -> resultThread.complete(Thread.currentThread()));
                reportedDuringCall.complete(resultThread.isDone());
            });
            assertEquals(loopThread.get(20, TimeUnit.SECONDS), resultThread.get(20, TimeUnit.SECONDS));
            assertFalse(reportedDuringCall.get(20, TimeUnit.SECONDS));
        }
    }

    /** Requests on connections in the backlog miss their deadlines if a failed accept stops the listener for long. */
    @Test
    void failedAcceptDelaysClientsByMillisecondsOnly() throws Exception {
        AtomicInteger accepted = new AtomicInteger();
        CompletableFuture<Void> allAccepted = new CompletableFuture<>();
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        InetSocketAddress boundAddress = (InetSocketAddress) loop.listen(anyPort, () -> {
                    if (accepted.incrementAndGet() == CLIENTS) {
                        allAccepted.complete(null);
                    }
                    return new ChannelInboundHandlerAdapter();
                })
                .localAddress();
        channels.failingAccepts.set(4);
        long startNanos = System.nanoTime();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Socket(boundAddress.getAddress(), boundAddress.getPort()));
        }
        allAccepted.get(20, TimeUnit.SECONDS);
        for (Socket client : clients) {
            client.close();
        }
        double elapsedMs = (System.nanoTime() - startNanos) / 1e6;
        assertTrue(elapsedMs < 500, "all were accepted after " + elapsedMs + " ms");
        assertEquals(0, channels.failingAccepts.get());
    }
}
