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

/** The event loop under failures of the system's calls. */
class EventLoopTest {
    private static final int CLIENTS = 3;

    private final FaultyChannels channels = new FaultyChannels();
    private final EventLoop loop =
            new EventLoop(new RateLimitedLog(line -> {}), () -> System.nanoTime() / 1e6, channels);

    @AfterEach
    void stop() {
        loop.shutdown();
    }

    /** All state belongs to the event-loop thread: a result on another one would corrupt it. */
    @Test
    void failedSocketIsReportedOnTheEventLoopAndNotFromWithinTheCall() throws Exception {
        channels.failingSockets.set(1);
        CompletableFuture<Thread> loopThread = new CompletableFuture<>();
        CompletableFuture<Thread> resultThread = new CompletableFuture<>();
        CompletableFuture<Boolean> reportedWithin = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            loop.execute(() -> {
                loopThread.complete(Thread.currentThread());
                loop.connect(
                        (InetSocketAddress) listener.getLocalSocketAddress(),
                        1000,
                        new ChannelInboundHandlerAdapter(),
                        result -> resultThread.complete(Thread.currentThread()));
                reportedWithin.complete(resultThread.isDone());
            });
            assertEquals(loopThread.get(20, TimeUnit.SECONDS), resultThread.get(20, TimeUnit.SECONDS));
            assertFalse(reportedWithin.get(20, TimeUnit.SECONDS));
        }
    }

    /** Requests on connections in the backlog have their deadlines: a failed accept must not stop the listener. */
    @Test
    void failedAcceptDelaysClientsByMillisecondsOnly() throws Exception {
        AtomicInteger accepted = new AtomicInteger();
        CompletableFuture<Void> allAccepted = new CompletableFuture<>();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        InetSocketAddress bound = (InetSocketAddress) loop.listen(any, () -> {
                    if (accepted.incrementAndGet() == CLIENTS) {
                        allAccepted.complete(null);
                    }
                    return new ChannelInboundHandlerAdapter();
                })
                .localAddress();
        channels.failingAccepts.set(4);
        long begun = System.nanoTime();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Socket(bound.getAddress(), bound.getPort()));
        }
        allAccepted.get(20, TimeUnit.SECONDS);
        for (Socket client : clients) {
            client.close();
        }
        double tookMs = (System.nanoTime() - begun) / 1e6;
        assertTrue(tookMs < 500, "all were accepted after " + tookMs + " ms");
        assertEquals(0, channels.failingAccepts.get());
    }
}
