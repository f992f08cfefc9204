package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.core.Attempt;
import stonelb.decision.Outcome;
import stonelb.gateway.testing.EventLoopTasks;
import stonelb.gateway.testing.InProcessGateway;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubServer;

/**
 * Clients that close their connection while their requests wait: no attempt may start more than 0.1 s later, whatever
 * the requests wait for. The tests block the event loop to provoke each race condition.
 */
class ClientDisconnectTest {
    @TempDir
    Path folder;

    private final List<String> receivedIds = new CopyOnWriteArrayList<>(); // ids of requests that reached an endpoint
    private final List<OutputStream> endpointOutputs = new CopyOnWriteArrayList<>(); // of connections to endpoints
    private StubServer endpoint;
    private InProcessGateway gateway;

    @BeforeEach
    void start() throws Exception {
        endpoint = new StubServer((in, out) -> {
            endpointOutputs.add(out);
            while (true) {
                String id = StubServer.readCommand(in).get(2);
                receivedIds.add(id);
                if (id.equals("next")) {
                    StubServer.write(out, "*1\r\n$4\r\nnext\r\n");
                }
            }
        });
        gateway = new InProcessGateway(folder, endpoint.port(), endpoint.port());
    }

    @AfterEach
    void stop() throws Exception {
        gateway.close();
        endpoint.close();
    }

    /**
     * Blocks the event loop while the client sends its input and closes, then runs {@code then} on the delayed loop.
     */
    private void sendAndCloseWhileLoopIsBlocked(Client client, String input, Runnable then) throws Exception {
        gateway.blockLoopDuring(
                () -> {
                    client.write(input);
                    client.close();
                    gateway.clock.step(200);
                },
                then);
    }

    /**
     * Sends a request from a client that stays connected. When it returns, all earlier attempts have reached their
     * endpoints.
     */
    private void sendFollowUpRequest() throws Exception {
        try (Client client = new Client(gateway.port())) {
            client.write(InProcessGateway.request("next"));
            assertEquals("next", StubServer.readResp(client.in));
        }
    }

    /** Requests must not be started if the client's close arrived together with them. */
    @Test
    void requestsReadTogetherWithTheCloseAreNotStarted() throws Exception {
        Client client = new Client(gateway.port());
        assertEquals("+PONG", client.call("PING"));
        sendAndCloseWhileLoopIsBlocked(
                client,
                InProcessGateway.request("1") + InProcessGateway.request("2") + InProcessGateway.request("3"),
                () -> {});
        sendFollowUpRequest();
        assertEquals(List.of("next"), receivedIds);
        assertEquals(1, gateway.startedAttempts.size(), "none of them was started");
    }

    /** A delayed event loop must not start a retry before it has read the client's close. */
    @Test
    void retryOnDelayedLoopWaitsUntilDisconnectsAreRead() throws Exception {
        Client client = new Client(gateway.port());
        for (String id : new String[] {"a", "b"}) { // concurrently, so that a connection to each endpoint is opened
            client.write(InProcessGateway.request(id));
        }
        GatewayProcess.awaitCondition("both are in flight", () -> receivedIds.size() == 2);
        for (int i = 0; i < 2; i++) {
            gateway.startedAttempts.poll(20, TimeUnit.SECONDS);
            StubServer.write(endpointOutputs.get(i), "*1\r\n$5\r\nvalue\r\n");
            assertEquals("value", StubServer.readResp(client.in));
        }
        gateway.clock.step(50); // the quiet period of both connections has passed
        for (int i = 0; i < 3; i++) {
            gateway.run(() -> gateway.loop().timers().runDue());
        }
        client.write(InProcessGateway.request("1"));
        Attempt first = gateway.startedAttempts.poll(20, TimeUnit.SECONDS);
        GatewayProcess.awaitCondition("it is in flight", () -> receivedIds.contains("1"));
        sendAndCloseWhileLoopIsBlocked(
                client, "", () -> gateway.requests().attemptEnded(first, Outcome.REJECTED, null));
        sendFollowUpRequest();
        assertEquals(1, receivedIds.stream().filter("1"::equals).count(), "its second attempt has reached no endpoint");
        assertEquals(2, endpoint.openConnections(), "and no further connection was opened");
    }

    /** A client's close must be detected while the gateway does not process more of its input. */
    @Test
    void disconnectIsDetectedWhileInputIsNotProcessed() throws Exception {
        Client client = new Client(gateway.port());
        StringBuilder pipeline = new StringBuilder();
        for (int i = 0; i < 700; i++) {
            pipeline.append(InProcessGateway.request("a" + i));
        }
        client.write(pipeline.toString());
        Attempt first = gateway.startedAttempts.poll(20, TimeUnit.SECONDS);
        for (int pass = 0; pass < 100; pass++) { // each iteration processes some requests, up to the limit
            EventLoopTasks.awaitIteration(gateway.loop());
        }
        client.close();
        assertTrue(
                gateway.abandonedAttempts.poll(5, TimeUnit.SECONDS) != null,
                "attempt " + first.number() + " is abandoned");
        GatewayProcess.awaitCondition(
                "no request is open",
                () -> EventLoopTasks.call(
                        gateway.loop(), () -> gateway.requests().openRequests() == 0));
    }

    /** A request that waits for a connection to an endpoint must not be sent after its client has closed. */
    @Test
    void attemptWaitingForConnectionIsNotSentAfterDisconnect() throws Exception {
        Client client = new Client(gateway.port());
        CompletableFuture<Void> loopBlocked = new CompletableFuture<>();
        CompletableFuture<Void> clientClosed = new CompletableFuture<>();
        gateway.onStarted = () -> {
            gateway.onStarted = () -> {};
            loopBlocked.complete(null);
            clientClosed.join();
            gateway.clock.step(200);
        };
        client.write(InProcessGateway.request("1"));
        loopBlocked.get(20, TimeUnit.SECONDS);
        client.close();
        clientClosed.complete(null);
        sendFollowUpRequest();
        assertEquals(List.of("next"), receivedIds);
    }
}
