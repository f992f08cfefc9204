package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.core.Attempt;
import stonelb.decision.Outcome;
import stonelb.gateway.endpoint.RespResponse;
import stonelb.gateway.testing.EventLoopTasks;
import stonelb.gateway.testing.InProcessGateway;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubServer;

/**
 * Provokes race conditions on a client connection. Every request that was read must be answered or, if its client has
 * disconnected, not be started; later input must stay unread where the client is to send it again.
 */
class ClientConnectionFaultsTest {
    @TempDir
    Path folder;

    private final List<String> receivedIds = new CopyOnWriteArrayList<>();
    private final Map<String, String> receivedFields = new ConcurrentHashMap<>();
    private final Map<String, OutputStream> outputs = new ConcurrentHashMap<>(); // of the endpoint, by request id
    private StubServer endpoint;
    private InProcessGateway gateway;

    @BeforeEach
    void start() throws Exception {
        endpoint = new StubServer((in, out) -> {
            while (true) {
                List<String> command = StubServer.readCommand(in);
                String id = command.get(2);
                receivedFields.put(id, command.get(3));
                outputs.put(id, out);
                receivedIds.add(id);
                if (!id.startsWith("held")) {
                    StubServer.write(out, response(id));
                }
            }
        });
        gateway = new InProcessGateway(folder, endpoint.port(), endpoint.port());
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        endpoint.close();
    }

    private static String response(String id) {
        return "*1\r\n$" + id.length() + "\r\n" + id + "\r\n";
    }

    private void awaitReceived(String id) throws InterruptedException {
        GatewayProcess.awaitCondition(id + " has reached the endpoint", () -> receivedIds.contains(id));
    }

    /**
     * While the frontend is draining, the selector reports an endpoint's response and the client's next request at
     * once. The connection is to close with the response, but the request has been read and must be answered.
     */
    @Test
    void requestReadInSameLoopIterationAsLastResponseIsAnswered() throws Exception {
        try (Client client = gateway.connectClient()) {
            client.write(InProcessGateway.request("held"));
            awaitReceived("held");
            gateway.run(gateway.frontend()::startDraining);
            gateway.blockLoopDuring(() -> {
                StubServer.write(outputs.get("held"), response("held"));
                client.write(InProcessGateway.request("next"));
            });
            assertEquals("held", StubServer.readResp(client.in));
            assertEquals("next", StubServer.readResp(client.in));
            assertEquals(-1, client.in.read(), "the connection is closed after the last response");
        }
    }

    /**
     * Input that follows after the error for an incomplete message may contain complete requests, so it must stay
     * unread.
     */
    @Test
    void inputAfterIncompleteMessageTimeoutIsNotRead() throws Exception {
        try (Client client = gateway.connectClient()) {
            String request = InProcessGateway.request("overdue");
            client.write(request.substring(0, 20));
            GatewayProcess.awaitCondition("the input is read", () -> gateway.channels.bytesRead.get() >= 20);
            EventLoopTasks.awaitIteration(gateway.loop());
            gateway.clock.step(2500);
            gateway.run(() -> gateway.frontend().onTimer(gateway.loop().now(), 0));
            assertEquals("-ERR Protocol error: a message stays half sent", StubServer.readResp(client.in));
            long readBefore = gateway.channels.bytesRead.get();
            client.write(request.substring(20) + InProcessGateway.request("another"));
            assertEquals(-1, client.in.read());
            gateway.clock.step(300);
            GatewayProcess.awaitCondition(
                    "the connection is closed",
                    () -> EventLoopTasks.call(gateway.loop(), gateway.frontend()::hasNoConnections));
            assertEquals(readBefore, gateway.channels.bytesRead.get());
            assertThrows(IOException.class, () -> client.write("x"), "unread input has reset the connection");
        }
    }

    /** A client that keeps sending slowly must not run into the timeout for incomplete messages. */
    @Test
    void slowlyWrittenRequestIsServed() throws Exception {
        try (Client client = gateway.connectClient()) {
            String request = InProcessGateway.request("slow");
            for (int start = 0; start < request.length(); start += 20) {
                long readBefore = gateway.channels.bytesRead.get();
                client.write(request.substring(start, Math.min(request.length(), start + 20)));
                GatewayProcess.awaitCondition("the input is read", () -> gateway.channels.bytesRead.get() > readBefore);
                EventLoopTasks.awaitIteration(gateway.loop());
                gateway.clock.step(1000);
                gateway.run(() -> gateway.frontend().onTimer(gateway.loop().now(), 0));
            }
            assertEquals("slow", StubServer.readResp(client.in));
        }
    }

    /** Requests before a message that stays incomplete must get their responses before the error is sent. */
    @Test
    void requestsBeforeTimedOutMessageAreAnswered() throws Exception {
        try (Client client = gateway.connectClient()) {
            client.write(InProcessGateway.request("held") + "*5\r\n$5\r\nQ.A");
            awaitReceived("held");
            gateway.clock.step(2500);
            gateway.run(() -> gateway.frontend().onTimer(gateway.loop().now(), 0));
            StubServer.write(outputs.get("held"), response("held"));
            assertEquals("held", StubServer.readResp(client.in));
            gateway.run(() -> gateway.frontend().onTimer(gateway.loop().now(), 0));
            assertEquals("-ERR Protocol error: a message stays half sent", StubServer.readResp(client.in));
            assertEquals(-1, client.in.read());
        }
    }

    /**
     * Short reads use up an event loop iteration before the client's disconnect, which is next in the socket, is read.
     * The request must not be started before that.
     */
    @Test
    void requestIsNotStartedBeforeFollowingDisconnectIsRead() throws Exception {
        openEndpointConnections();
        String request = InProcessGateway.request("gone");
        gateway.channels.maxReadBytes = (request.length() + 7) / 8; // eight reads, the maximum per event loop iteration
        Client client = new Client(gateway.port());
        gateway.blockLoopDuring(() -> {
            client.write(request);
            client.close();
            gateway.clock.step(200);
        });
        try (Client nextClient = gateway.connectClient()) {
            client.close();
            nextClient.write(InProcessGateway.request("next"));
            assertEquals("next", StubServer.readResp(nextClient.in));
        }
        assertEquals(List.of("next"), receivedIds);
    }

    /** Opens a connection to each endpoint, so that the next attempt is written immediately. */
    private void openEndpointConnections() throws Exception {
        try (Client client = gateway.connectClient()) {
            client.write(InProcessGateway.request("held1") + InProcessGateway.request("held2"));
            awaitReceived("held1");
            awaitReceived("held2");
            for (String id : List.of("held1", "held2")) {
                StubServer.write(outputs.get(id), response(id));
                assertEquals(id, StubServer.readResp(client.in));
            }
        }
        gateway.clock.step(50); // the quiet period of both connections
        for (int pass = 0; pass < 3; pass++) {
            gateway.run(() -> gateway.loop().timers().runDue());
        }
        receivedIds.clear();
    }

    /**
     * While a client's pipeline is full, its input is not read and a disconnect goes undetected. No attempt may start
     * then.
     */
    @Test
    void noAttemptStartsForDisconnectedClientWhoseInputIsNotRead() throws Exception {
        Client client = gateway.connectClient();
        StringBuilder pipeline = new StringBuilder();
        for (int i = 0; i < 4000; i++) {
            pipeline.append(InProcessGateway.request("held" + i));
        }
        client.write(pipeline.toString());
        awaitNoMoreReads();
        client.close();
        gateway.clock.step(200);
        int startedBefore = gateway.startedAttempts.size();
        Attempt first = gateway.startedAttempts.poll(20, TimeUnit.SECONDS);
        gateway.run(() -> gateway.requests().attemptEnded(first, Outcome.OK, new RespResponse(new byte[] {'v'})));
        for (int pass = 0; pass < 20; pass++) {
            EventLoopTasks.awaitIteration(gateway.loop());
        }
        assertEquals(startedBefore - 1, gateway.startedAttempts.size());
    }

    /** Waits until the gateway has read nothing for many iterations of the event loop. */
    private void awaitNoMoreReads() throws Exception {
        long bytesRead = -1;
        while (bytesRead != gateway.channels.bytesRead.get()) {
            bytesRead = gateway.channels.bytesRead.get();
            for (int pass = 0; pass < 100; pass++) {
                EventLoopTasks.awaitIteration(gateway.loop());
            }
        }
    }

    /** A client that stays connected is served again once its input is read. */
    @Test
    void clientIsServedAfterPipelineWasFull() throws Exception {
        try (Client client = gateway.connectClient()) {
            int requests = 4000;
            StringBuilder pipeline = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                pipeline.append(InProcessGateway.request("many" + i));
            }
            client.write(pipeline.toString());
            for (int i = 0; i < requests; i++) {
                String response = StubServer.readResp(client.in);
                assertTrue(response.equals("many" + i) || response.startsWith("-BUSY"), i + ": " + response);
            }
            assertEquals("last", ask(client, "last"));
        }
    }

    private static String ask(Client client, String id) throws IOException {
        client.write(InProcessGateway.request(id));
        return StubServer.readResp(client.in);
    }

    /**
     * The event loop is blocked after the requests arrive. The timeout sent to the endpoint must not exceed the time
     * the client has left.
     */
    @Test
    void forwardedTimeoutCountsFromRequestArrival() throws Exception {
        try (Client client = gateway.connectClient();
                Client newClient = new Client(gateway.port())) {
            gateway.blockLoopDuring(() -> {
                client.write(InProcessGateway.request("known"));
                newClient.write(InProcessGateway.request("new"));
                gateway.clock.step(3000);
            });
            assertEquals("known", StubServer.readResp(client.in));
            assertEquals("new", StubServer.readResp(newClient.in));
            for (String id : List.of("known", "new")) {
                String fields = receivedFields.get(id);
                int leftMs = Integer.parseInt(fields.replaceAll(".*,d=(\\d+),.*", "$1"));
                assertTrue(
                        leftMs <= 9000 - 3000 + 150,
                        id + " was forwarded with " + leftMs + " ms instead of at most 6000");
            }
        }
    }

    /**
     * A connection whose client reads nothing for 30 s is closed, even with requests in flight; other clients are
     * served.
     */
    @Test
    void connectionIsClosedWhenClientReadsNoResponse() throws Exception {
        try (Client stalled = gateway.connectClient()) {
            stalled.write(InProcessGateway.request("held"));
            awaitReceived("held");
            gateway.channels.writeBudget.set(1);
            StubServer.write(outputs.get("held"), response("held"));
            GatewayProcess.awaitCondition(
                    "part of the response is written", () -> gateway.channels.writeBudget.get() == 0);
            gateway.clock.step(29_000);
            gateway.run(() -> gateway.frontend().onTimer(gateway.loop().now(), 0));
            assertTrue(EventLoopTasks.call(gateway.loop(), gateway.frontend()::hasPendingResponses));
            gateway.clock.step(2000);
            gateway.run(() -> gateway.frontend().onTimer(gateway.loop().now(), 0));
            GatewayProcess.awaitCondition(
                    "the connection is closed",
                    () -> EventLoopTasks.call(gateway.loop(), gateway.frontend()::hasNoConnections));
            gateway.channels.writeBudget.set(Long.MAX_VALUE);
            try (Client other = gateway.connectClient()) {
                assertEquals("other", ask(other, "other"));
            }
        }
    }

    /**
     * Partial messages of other clients leave little memory; a large request that has been read in part must still be
     * read to its end.
     */
    @Test
    void largeRequestIsServedUnderMemoryPressure() throws Exception {
        List<Client> others = new ArrayList<>();
        try (Client client = gateway.connectClient()) {
            String partialCommand = "*5\r\n$5\r\nQ.ASK\r\n$65000\r\n" + "x".repeat(64_000);
            for (int i = 0; i < 45; i++) {
                Client other = gateway.connectClient();
                other.write(partialCommand);
                others.add(other);
            }
            awaitNoMoreReads();
            String fields = "c=read,t=open,d=9000,units=1,spread=1,first=0";
            client.write("*5\r\n$5\r\nQ.ASK\r\n$16\r\n0000000000000001\r\n$5\r\nlarge\r\n$" + fields.length() + "\r\n"
                    + fields + "\r\n$60000\r\n" + "x".repeat(20_000));
            awaitNoMoreReads();
            client.write("x".repeat(40_000) + "\r\n");
            assertEquals("large", StubServer.readResp(client.in));
        } finally {
            for (Client other : others) {
                other.close();
            }
        }
    }

    /** As the last step before the exit, requests that were read are answered, and other input stays in the socket. */
    @Test
    void onlyRequestsAlreadyReadAreAnsweredAfterStopReading() throws Exception {
        try (Client client = gateway.connectClient()) {
            client.write(InProcessGateway.request("held"));
            awaitReceived("held");
            gateway.run(gateway.frontend()::stopReading);
            long readBefore = gateway.channels.bytesRead.get();
            client.write(InProcessGateway.request("next"));
            assertTrue(EventLoopTasks.call(gateway.loop(), gateway.frontend()::hasPendingResponses));
            StubServer.write(outputs.get("held"), response("held"));
            assertEquals("held", StubServer.readResp(client.in));
            GatewayProcess.awaitCondition(
                    "no response is pending",
                    () -> !EventLoopTasks.call(gateway.loop(), gateway.frontend()::hasPendingResponses));
            assertEquals(readBefore, gateway.channels.bytesRead.get());
            assertEquals(List.of("held"), receivedIds);
        }
    }
}
