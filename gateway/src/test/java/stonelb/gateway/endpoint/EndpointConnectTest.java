package stonelb.gateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import stonelb.gateway.testing.EventLoopTasks;
import stonelb.standins.GatewayProcess;
import stonelb.standins.StubServer;

/** Tests how connections to endpoints are opened: failures, deadlines and the limit on their number. */
class EndpointConnectTest extends EndpointConnectionsFixture {
    /** A request must not be written to a connection that is reset right after the accept. */
    @Test
    void connectionResetOnAcceptProvesRequestNotExecuted() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread closer = new Thread(() -> {
                try {
                    while (true) {
                        try (Socket socket = listener.accept()) {
                            socket.setSoLinger(true, 0);
                        }
                    }
                } catch (IOException e) {
                    // the test is over
                }
            });
            closer.setDaemon(true);
            closer.start();
            start(listener);
            loop.execute(() -> requests.submit(new NonIdempotentRequest()));
            assertEquals("rejected", results.poll(20, TimeUnit.SECONDS));
        }
    }

    /** Connections to many endpoints must leave file descriptors for discovery and the quota counter. */
    @Test
    void connectionsToManyEndpointsStayWithinLimit() throws Exception {
        AtomicInteger maxOpen = new AtomicInteger();
        int maxConnections = 6;
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            AtomicInteger open = new AtomicInteger();
            Thread acceptor = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = listener.accept();
                        maxOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
                        Thread session = new Thread(() -> {
                            try (socket) {
                                while (socket.getInputStream().read() >= 0) {
                                    StubServer.write(
                                            socket.getOutputStream(),
                                            "-ERR failed\r\n"); // so that the next request goes to another endpoint
                                }
                            } catch (IOException e) {
                                // closed by the gateway
                            }
                            open.decrementAndGet();
                        });
                        session.setDaemon(true);
                        session.start();
                    }
                } catch (IOException e) {
                    // the test is over
                }
            });
            acceptor.setDaemon(true);
            acceptor.start();
            clockRunningSinceNanos = System.nanoTime();
            start(listener, 40, maxConnections);
            for (int i = 0; i < 60; i++) {
                // A connection becomes idle 10 ms after its response; until then all six may be in use, and the next
                // request would be rejected.
                loop.execute(() -> loop.timers()
                        .scheduleAfter(20, (now, token) -> requests.submit(new NonIdempotentRequest()), 0));
                assertEquals("failed", results.poll(20, TimeUnit.SECONDS));
            }
            // The test may still count a connection as open that the gateway has closed.
            assertTrue(
                    maxOpen.get() <= 2 * maxConnections,
                    maxOpen.get() + " connections at a time, limit " + maxConnections);
        }
    }

    /** While the host briefly has no free socket, port or route, a request must not use up all its attempts. */
    @Test
    void locallyFailedConnectsAreRetried() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            listener.setSoTimeout(20_000);
            clockRunningSinceNanos = System.nanoTime();
            start(listener);
            channels.failingSockets.set(2);
            channels.failingConnects.set(6);
            loop.execute(() -> requests.submit(new NonIdempotentRequest()));
            Socket socket = listener.accept();
            assertEquals('x', socket.getInputStream().read());
            StubServer.write(socket.getOutputStream(), "*1\r\n$2\r\nok\r\n");
            assertEquals("ok", results.poll(20, TimeUnit.SECONDS));
        }
    }

    /** While all connections are in use, a request must wait for one to become idle instead of being rejected. */
    @Test
    void attemptAtConnectionLimitWaitsForIdleConnection() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            listener.setSoTimeout(20_000);
            clockRunningSinceNanos = System.nanoTime();
            start(listener, 2, 1);
            loop.execute(() -> requests.submit(new NonIdempotentRequest()));
            Socket first = listener.accept();
            assertEquals('x', first.getInputStream().read());
            loop.execute(() -> requests.submit(new NonIdempotentRequest()));
            EventLoopTasks.awaitIteration(loop);
            StubServer.write(first.getOutputStream(), "*1\r\n$5\r\nfirst\r\n");
            assertEquals("first", results.poll(20, TimeUnit.SECONDS));
            Socket second = listener.accept();
            assertEquals('x', second.getInputStream().read());
            StubServer.write(second.getOutputStream(), "*1\r\n$6\r\nsecond\r\n");
            assertEquals("second", results.poll(20, TimeUnit.SECONDS));
        }
    }

    /** Requests of one frontend must not take the connections that requests of the other frontend need. */
    @Test
    void eachProtocolHasItsOwnConnectionLimit() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            listener.setSoTimeout(5_000);
            clockRunningSinceNanos = System.nanoTime();
            start(listener, 2, 1);
            loop.execute(() -> requests.submit(new NonIdempotentRequest(OutboundRequest.Protocol.HTTP)));
            Socket http = listener.accept();
            assertEquals('x', http.getInputStream().read());
            loop.execute(() -> requests.submit(new NonIdempotentRequest()));
            Socket resp = listener.accept();
            assertEquals('x', resp.getInputStream().read());
            StubServer.write(resp.getOutputStream(), "*1\r\n$2\r\nok\r\n");
            assertEquals("ok", results.poll(20, TimeUnit.SECONDS));
        }
    }

    /**
     * An attempt that waits at the connection limit must end early enough for another endpoint to be tried. It was
     * never sent, so its request counts as not executed.
     */
    @Test
    void attemptAtConnectionLimitEndsUnsentInTime() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            listener.setSoTimeout(20_000);
            clockRunningSinceNanos = System.nanoTime();
            start(listener, 2, 1);
            loop.execute(() -> requests.submit(new NonIdempotentRequest()));
            Socket first = listener.accept();
            assertEquals('x', first.getInputStream().read());
            long startedAt = System.nanoTime();
            loop.execute(() -> requests.submit(new NonIdempotentRequest()));
            assertEquals("rejected", results.poll(20, TimeUnit.SECONDS));
            double elapsedMs = (System.nanoTime() - startedAt) / 1e6;
            assertTrue(elapsedMs > 150 && elapsedMs < 5000, "its attempts took " + elapsedMs + " ms");
            StubServer.write(first.getOutputStream(), "*1\r\n$5\r\nfirst\r\n");
            assertEquals("first", results.poll(20, TimeUnit.SECONDS));
        }
    }

    /** A request whose deadline passes while its connection is being opened must not be written. */
    @Test
    void attemptWhoseDeadlinePassedWhileConnectingIsNotWritten() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            listener.setSoTimeout(20_000);
            start(listener);
            loop.execute(() -> requests.submit(new NonIdempotentRequest()));
            Socket socket = listener.accept();
            clock.set(1_020_000);
            loop.execute(() -> loop.wakeAt(loop.now()));
            assertEquals("failed", results.poll(20, TimeUnit.SECONDS));
            CompletableFuture<Integer> firstByte = CompletableFuture.supplyAsync(() -> read(socket));
            GatewayProcess.awaitCondition("the idle connection is closed", () -> {
                clock.addAndGet(1000);
                loop.execute(() -> loop.wakeAt(loop.now()));
                return firstByte.isDone();
            });
            assertEquals(-1, firstByte.get(), "nothing was written");
        }
    }

    private static int read(Socket socket) {
        try {
            return socket.getInputStream().read();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
