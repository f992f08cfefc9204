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
 * Clients that close their connection while their requests wait: no attempt starts more than 0.1 s later, wherever they
 * wait. The test blocks the event loop so that each race happens.
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
                String id = StubServer.command(in).get(2);
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

    /** Blocks the event loop while the client sends its input and closes, then runs {@code then} on the late loop. */
    private void sendAndCloseWhileLoopIsHeld(Client client, String input, Runnable then) throws Exception {
        gateway.holdWhile(
                () -> {
                    client.write(input);
                    client.close();
                    gateway.clock.step(200);
                },
                then);
    }

    /** Sends a request of a client that stays; whatever was to reach an endpoint before it has done so afterwards. */
    private void sendFollowUpRequest() throws Exception {
        try (Client client = new Client(gateway.port())) {
            client.write(InProcessGateway.request("next"));
            assertEquals("next", StubServer.resp(client.in));
        }
    }

    /** Requests must not be started if the client's close arrived together with them. */
    @Test
    void requestsReadTogetherWithTheCloseAreNotStarted() throws Exception {
        Client client = new Client(gateway.port());
        assertEquals("+PONG", client.ask("PING"));
        sendAndCloseWhileLoopIsHeld(
                client,
                InProcessGateway.request("1") + InProcessGateway.request("2") + InProcessGateway.request("3"),
                () -> {});
        sendFollowUpRequest();
        assertEquals(List.of("next"), receivedIds);
        assertEquals(1, gateway.startedAttempts.size(), "none of them was started");
    }

    /** A busy event loop may start a retry before it has read the client's close. */
    @Test
    void retryByLateLoopWaitsUntilClosesAreRead() throws Exception {
        Client client = new Client(gateway.port());
        for (String id : new String[] {"a", "b"}) { // at once: one to each endpoint, which opens a connection to each
            client.write(InProcessGateway.request(id));
        }
        GatewayProcess.until("both are in flight", () -> receivedIds.size() == 2);
        for (int i = 0; i < 2; i++) {
            gateway.startedAttempts.poll(20, TimeUnit.SECONDS);
            StubServer.write(endpointOutputs.get(i), "*1\r\n$5\r\nvalue\r\n");
            assertEquals("value", StubServer.resp(client.in));
        }
        gateway.clock.step(50); // the quiet period of both connections has passed
        for (int i = 0; i < 3; i++) {
            gateway.run(() -> gateway.loop().timers().runDue());
        }
        client.write(InProcessGateway.request("1"));
        Attempt first = gateway.startedAttempts.poll(20, TimeUnit.SECONDS);
        GatewayProcess.until("it is in flight", () -> receivedIds.contains("1"));
        sendAndCloseWhileLoopIsHeld(client, "", () -> gateway.requests().attemptEnded(first, Outcome.REJECTED, null));
        sendFollowUpRequest();
        assertEquals(1, receivedIds.stream().filter("1"::equals).count(), "its second attempt has reached no endpoint");
        assertEquals(2, endpoint.connections(), "on either of the existing connections");
    }

    /** A client's close must be noticed while the gateway processes no more of its input. */
    @Test
    void closeIsNoticedWhileInputIsNotProcessed() throws Exception {
        Client client = new Client(gateway.port());
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 700; i++) {
            many.append(InProcessGateway.request("a" + i));
        }
        client.write(many.toString());
        Attempt first = gateway.startedAttempts.poll(20, TimeUnit.SECONDS);
        for (int pass = 0; pass < 100; pass++) { // each pass of the event loop processes some requests, until the limit
            EventLoopTasks.awaitPass(gateway.loop());
        }
        client.close();
        assertTrue(
                gateway.abandonedAttempts.poll(5, TimeUnit.SECONDS) != null,
                "attempt " + first.number() + " is abandoned");
        GatewayProcess.until(
                "nothing is left",
                () -> EventLoopTasks.call(
                        gateway.loop(), () -> gateway.requests().openRequests() == 0));
    }

    /** A request that waits for a connection to an endpoint must not be sent after its client has closed. */
    @Test
    void attemptWaitingForConnectionIsNotSentAfterClose() throws Exception {
        Client client = new Client(gateway.port());
        CompletableFuture<Void> held = new CompletableFuture<>();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        gateway.onStarted = () -> {
            gateway.onStarted = () -> {};
            held.complete(null);
            closed.join();
            gateway.clock.step(200);
        };
        client.write(InProcessGateway.request("1"));
        held.get(20, TimeUnit.SECONDS);
        client.close();
        closed.complete(null);
        sendFollowUpRequest();
        assertEquals(List.of("next"), receivedIds);
    }
}
