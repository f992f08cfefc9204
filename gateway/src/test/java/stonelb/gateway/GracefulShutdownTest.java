package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.config.Configuration;
import stonelb.core.Attempt;
import stonelb.core.EndpointConnector;
import stonelb.core.RequestTable;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.decision.Outcome;
import stonelb.gateway.endpoint.RespResponse;
import stonelb.gateway.platform.PlatformFrontend;
import stonelb.gateway.testing.EventLoopTasks;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;
import stonelb.standins.StubServer;

/**
 * Tests how client connections close in a graceful shutdown. The test completes the attempts itself, which fixes the
 * order of events.
 */
class GracefulShutdownTest {
    @TempDir
    Path folder;

    private final RateLimitedLog log = new RateLimitedLog();
    private volatile Double stoppedClock; // the time at which the clock is stopped, null while it runs
    private final EventLoop loop =
            new EventLoop(log, () -> stoppedClock == null ? System.nanoTime() / 1e6 : stoppedClock);
    private final BlockingQueue<Attempt> sentAttempts = new LinkedBlockingQueue<>();
    private Configuration config;
    private RequestTable requests;
    private PlatformFrontend frontend;
    private int port;

    @BeforeEach
    void start() throws Exception {
        try (StubPlatform platform = new StubPlatform()) {
            Files.writeString(
                    folder.resolve("config.json"), platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN));
        }
        config = Configuration.read(
                Map.of("PROXY_CONFIG", folder.resolve("config.json").toString()));
        EndpointConnector connector = new EndpointConnector() {
            @Override
            public void send(Attempt attempt) {
                sentAttempts.add(attempt);
            }

            @Override
            public boolean abandon(Attempt attempt) {
                return true;
            }
        };
        onLoop(() -> {
            requests = new RequestTable(
                    config.settings(), 1, loop.timers(), connector, (name, amount, keepMs) -> {}, e -> {});
            requests.endpointsChanged(
                    EndpointListType.SNAPSHOT, List.of(new Endpoint(1, EndpointState.READY, 0, 1, 0, 0)));
            frontend = new PlatformFrontend(loop, log, requests, config, 100, () -> true);
        });
        port = frontend.listen(config.listen()).getPort();
    }

    @AfterEach
    void stop() {
        loop.shutdown();
    }

    private void onLoop(Runnable task) throws Exception {
        EventLoopTasks.run(loop, task);
    }

    private static void sendRequest(Client client, String id) throws Exception {
        client.sendCommand("Q.DO", "0000000000000001", id, "c=log,t=open,d=9000,units=1,spread=1,first=0", id);
    }

    private void respond(Attempt attempt) throws Exception {
        respond(attempt, "value".getBytes(StandardCharsets.US_ASCII));
    }

    private void respond(Attempt attempt, byte[] value) throws Exception {
        onLoop(() -> requests.attemptEnded(attempt, Outcome.OK, new RespResponse(value)));
    }

    private Client connectClient() throws Exception {
        Client client = new Client(port);
        assertEquals("+PONG", client.call("PING"));
        return client;
    }

    /** Commands pipelined after a request in flight must not be dropped when connections start to close. */
    @Test
    void requestPipelinedBehindOneInFlightIsAnsweredBeforeClose() throws Exception {
        try (Client client = connectClient()) {
            sendRequest(client, "1");
            Attempt first = sentAttempts.poll(20, TimeUnit.SECONDS);
            onLoop(() -> {
                frontend.startDraining();
                frontend.closeIdleConnections(true);
            });
            sendRequest(client, "2");
            respond(sentAttempts.poll(20, TimeUnit.SECONDS));
            respond(first);
            assertEquals("value", StubServer.readResp(client.in));
            assertEquals("value", StubServer.readResp(client.in));
            assertEquals(-1, client.in.read(), "the connection closes after its last response");
        }
    }

    /** A request that has arrived but is still unread keeps its connection open. */
    @Test
    void unreadRequestIsAnsweredWhileIdleConnectionsClose() throws Exception {
        try (Client idle = connectClient();
                Client requesting = connectClient()) {
            CompletableFuture<Void> loopBlocked = new CompletableFuture<>();
            CompletableFuture<Void> requestWritten = new CompletableFuture<>();
            CompletableFuture<Void> closeStarted = CompletableFuture.runAsync(
                    () -> {
                        loopBlocked.complete(null);
                        requestWritten.join();
                        frontend.startDraining();
                        frontend.closeIdleConnections(false);
                    },
                    loop::execute);
            loopBlocked.get(20, TimeUnit.SECONDS);
            sendRequest(requesting, "1");
            requestWritten.complete(null);
            closeStarted.get(20, TimeUnit.SECONDS);
            assertEquals(-1, idle.in.read(), "the connection that was idle the longest is closed");
            respond(sentAttempts.poll(20, TimeUnit.SECONDS));
            onLoop(() -> frontend.closeIdleConnections(false));
            assertEquals("value", StubServer.readResp(requesting.in));
            assertEquals(-1, requesting.in.read());
        }
    }

    /** A connection that closes after its response must not truncate it when the client reads slowly. */
    @Test
    void responseWrittenInPartsIsCompleteBeforeClose() throws Exception {
        byte[] largeValue = new byte[32 << 20]; // more than the buffers of both sockets hold
        try (Client idle = connectClient();
                Client requesting = connectClient()) {
            sendRequest(idle, "1");
            respond(sentAttempts.poll(20, TimeUnit.SECONDS), largeValue);
            sendRequest(requesting, "2");
            Attempt second = sentAttempts.poll(20, TimeUnit.SECONDS);
            onLoop(() -> {
                frontend.startDraining();
                frontend.closeIdleConnections(false);
            });
            respond(second, largeValue);
            for (Client client : List.of(idle, requesting)) {
                assertEquals(largeValue.length, StubServer.readResp(client.in).length());
                assertEquals(-1, client.in.read(), "the connection closes after its last response");
            }
        }
    }

    /**
     * An unread request resets the connection, so that the client retries it; a request that is read and dropped is
     * lost.
     */
    @Test
    void requestSentDuringCloseIsNotRead() throws Exception {
        try (Client client = connectClient()) {
            sendRequest(client, "1");
            Attempt first = sentAttempts.poll(20, TimeUnit.SECONDS);
            onLoop(frontend::startDraining);
            CompletableFuture<Void> secondRequestSent = new CompletableFuture<>();
            CompletableFuture<Void> ended = CompletableFuture.runAsync(
                    () -> {
                        requests.attemptEnded(
                                first, Outcome.OK, new RespResponse("value".getBytes(StandardCharsets.US_ASCII)));
                        secondRequestSent.join();
                    },
                    loop::execute);
            assertEquals("value", StubServer.readResp(client.in));
            sendRequest(client, "2");
            secondRequestSent.complete(null);
            ended.get(20, TimeUnit.SECONDS);
            GatewayProcess.awaitCondition(
                    "the connection is closed", () -> EventLoopTasks.call(loop, frontend::hasNoConnections));
            EventLoopTasks.awaitIteration(loop); // the next select closes the socket of a closed channel
            assertThrows(IOException.class, () -> client.write("x"), "the unread request has reset the connection");
        }
    }

    /** The port stays open for clients that retry a request sent just as its connection closed. */
    @Test
    void retryOnNewConnectionIsAnswered() throws Exception {
        try (Client client = connectClient()) {
            onLoop(() -> {
                frontend.startDraining();
                frontend.closeIdleConnections(false);
            });
            assertEquals(-1, client.in.read());
            try (Client reconnected = new Client(port)) {
                sendRequest(reconnected, "1");
                respond(sentAttempts.poll(20, TimeUnit.SECONDS));
                assertEquals("value", StubServer.readResp(reconnected.in));
                assertEquals(-1, reconnected.in.read(), "the connection closes after its response");
            }
        }
    }

    /** After the time limit there is no time to serve a retry; a rejection lets the client try another gateway. */
    @Test
    void retryAfterTimeLimitIsRejectedAtOnce() throws Exception {
        try (Client client = connectClient()) {
            onLoop(() -> {
                stoppedClock = loop.now(); // no later timer fires
                new GracefulShutdown(loop, log, requests, List.of(frontend), List.of(9000.0), () -> {})
                        .start(loop.now() - 3100);
            });
            assertEquals(-1, client.in.read());
            try (Client reconnected = new Client(port)) {
                sendRequest(reconnected, "1");
                assertEquals("-BUSY 500", StubServer.readResp(reconnected.in));
                assertEquals(-1, reconnected.in.read(), "the connection closes after its response");
            }
            assertEquals(0, sentAttempts.size());
        }
    }

    /** A connection whose response is still being read must not be closed as idle, nor to admit a new connection. */
    @Test
    void connectionWithPendingWriteIsNotEvicted() throws Exception {
        byte[] largeValue = new byte[32 << 20]; // more than the buffers of both sockets hold
        PlatformFrontend singleConnectionFrontend = new PlatformFrontend(loop, log, requests, config, 1, () -> true);
        int singleConnectionPort =
                singleConnectionFrontend.listen(config.listen()).getPort();
        try (Client reading = new Client(singleConnectionPort)) {
            sendRequest(reading, "1");
            respond(sentAttempts.poll(20, TimeUnit.SECONDS), largeValue);
            try (Client another = new Client(singleConnectionPort)) {
                assertEquals(-1, another.in.read(), "the new connection is closed");
            }
            assertEquals(largeValue.length, StubServer.readResp(reading.in).length());
            sendRequest(reading, "2");
            respond(sentAttempts.poll(20, TimeUnit.SECONDS));
            assertEquals("value", StubServer.readResp(reading.in), "the connection is still served");
        }
    }

    /** A connection must not be closed as idle between the first and the last byte of a request. */
    @Test
    void connectionWithPartialRequestIsNotIdle() throws Exception {
        stoppedClock = 1_000_000.0;
        PlatformFrontend singleConnectionFrontend = new PlatformFrontend(loop, log, requests, config, 1, () -> true);
        try (Client client =
                new Client(singleConnectionFrontend.listen(config.listen()).getPort())) {
            assertEquals("+PONG", client.call("PING"));
            stoppedClock = loop.now() + 2300; // more than the idle timeout
            client.write("*5\r\n$4\r\nQ.DO\r\n");
            EventLoopTasks.awaitIteration(loop);
            onLoop(() -> singleConnectionFrontend.onTimer(loop.now(), 0));
            client.write("$16\r\n0000000000000001\r\n$1\r\n1\r\n$44\r\nc=log,t=open,d=9000,units=1,spread=1,first=0"
                    + "\r\n$1\r\nx\r\n");
            respond(sentAttempts.poll(20, TimeUnit.SECONDS));
            assertEquals("value", StubServer.readResp(client.in));
        }
    }

    /** If the event loop is busy when SIGTERM arrives, the last responses must still be sent before SIGKILL. */
    @Test
    void shutdownAfterDelayedSignalEndsInTime() throws Exception {
        try (Client client = connectClient()) {
            sendRequest(client, "1");
            sentAttempts.poll(20, TimeUnit.SECONDS);
            onLoop(() -> {
                stoppedClock = loop.now(); // no later timer fires
                new GracefulShutdown(loop, log, requests, List.of(frontend), List.of(9000.0), () -> {})
                        .start(loop.now() - 3300);
            });
            assertEquals("-ERR failed", StubServer.readResp(client.in));
            assertEquals(-1, client.in.read());
        }
    }
}
