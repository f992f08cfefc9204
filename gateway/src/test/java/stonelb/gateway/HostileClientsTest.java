package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.gateway.testing.UsualClients;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;
import stonelb.standins.StubServer;

/**
 * Guards against clients whose input, within the limits of size, occupies the event loop or the heap so that other
 * clients get no answer. The gateway runs with the JVM options of the deploy file.
 */
class HostileClientsTest {
    private static final long TIMEOUT_S = 60;
    private static final int USUAL_CLIENTS = 6;
    private static final String EXPORT_PATH =
            "  /exports/{year}-{month}-{day}.json:\n    get: {x-stonelb-class: read}\n";
    private static final String LONG_BODY = "z".repeat(60_000);

    @TempDir
    Path folder;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final UsualClients usualClients = new UsualClients();
    private StubPlatform platform;
    private GatewayProcess gateway;
    private int respPort;

    @BeforeEach
    void start() throws Exception {
        platform = new StubPlatform();
        Files.writeString(folder.resolve("plans.yaml"), OpenApiFrontendTest.DESCRIPTION + EXPORT_PATH);
        gateway = new GatewayProcess(
                folder,
                platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN),
                OpenApiFrontendTest.settings(folder.resolve("plans.yaml"), platform.http.port()),
                "@deploy/jvm.options",
                "-cp",
                System.getProperty("java.class.path"),
                "stonelb.gateway.Main");
        respPort = gateway.port("RESP2 requests");
        usualClients.start(USUAL_CLIENTS, respPort, "u", HostileClientsTest::call, id -> "echo " + id);
    }

    @AfterEach
    void stop() throws IOException {
        usualClients.close();
        threads.shutdownNow();
        gateway.close();
        platform.close();
    }

    private static String call(Client client, String id) throws IOException {
        String attributes = GatewayProcessFixture.attributes("read", "open", UsualClients.DEADLINE_MS);
        return client.call("Q.ASK", GatewayProcessFixture.CUSTOMER, id, attributes, id);
    }

    /** review/7: the time to parse a field list grew with the square of its length, 2 s for one command. */
    @Test
    void fieldListsOfManyEmptyFieldsDoNotDelayOthers() throws Exception {
        int commands = 100;
        String[] command = {"Q.ASK", GatewayProcessFixture.CUSTOMER, "bad", ",".repeat(65_000)};
        List<CompletableFuture<Void>> hostileClients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            hostileClients.add(inBackground(() -> {
                try (Client client = new Client(respPort)) {
                    CompletableFuture<Void> responses = inBackground(() -> {
                        for (int response = 0; response < commands; response++) {
                            assertEquals("-ERR the class is missing", StubServer.readResp(client.in));
                        }
                    });
                    for (int sent = 0; sent < commands; sent++) {
                        client.sendCommand(command);
                    }
                    responses.get(TIMEOUT_S, TimeUnit.SECONDS);
                }
            }));
        }
        for (CompletableFuture<Void> hostileClient : hostileClients) {
            hostileClient.get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        assertUsualClientsWereServed();
    }

    /** review/8: matching one long path against a segment with three variables stopped the event loop for good. */
    @Test
    void longPathAgainstSegmentWithManyVariablesDoesNotDelayOthers() throws Exception {
        int httpPort = gateway.port("HTTP requests");
        for (int i = 0; i < 20; i++) {
            try (Client client = new Client(httpPort)) {
                String target = "GET /v1/exports/" + "-".repeat(7900);
                String request = OpenApiFrontendTest.request(target, "open", UsualClients.DEADLINE_MS, "x");
                assertEquals(404, client.httpCall(request).status());
            }
        }
        assertUsualClientsWereServed();
    }

    /**
     * Clients that stop within a large message used up the memory for input; then requests of others that came in
     * pieces were answered with an error.
     */
    @Test
    void requestsInPiecesAreServedBesideHundredsOfHalfSentMessages() throws Exception {
        String half = "*5\r\n$5\r\nQ.ASK\r\n$65000\r\n" + "x".repeat(60_000);
        List<Client> hostileClients = new ArrayList<>();
        try (UsualClients slowClients = new UsualClients()) {
            slowClients.start(
                    USUAL_CLIENTS, respPort, "p", HostileClientsTest::callInPieces, id -> "echo " + "y".repeat(2000));
            for (int i = 0; i < 280; i++) {
                Client hostileClient = new Client(respPort);
                hostileClients.add(hostileClient);
                try {
                    hostileClient.write(half);
                } catch (IOException e) {
                    // the gateway has answered with an error and closed the connection
                }
            }
            assertUsualClientsWereServed();
            assertEquals(List.of(), slowClients.stop());
        } finally {
            for (Client hostileClient : hostileClients) {
                hostileClient.close();
            }
        }
    }

    private static String callInPieces(Client client, String id) throws IOException {
        String attributes = GatewayProcessFixture.attributes("read", "open", UsualClients.DEADLINE_MS);
        String request = "*5\r\n$5\r\nQ.ASK\r\n$16\r\n" + GatewayProcessFixture.CUSTOMER + "\r\n$" + id.length()
                + "\r\n" + id + "\r\n$" + attributes.length() + "\r\n" + attributes + "\r\n$2000\r\n";
        client.write(request);
        pause();
        client.write("y".repeat(1000));
        pause();
        client.write("y".repeat(1000) + "\r\n");
        return StubServer.readResp(client.in);
    }

    private static void pause() {
        try {
            Thread.sleep(30);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Long requests and responses at once that are more than the heap could hold. Each gets a response: served, rejected, or
     * an error and a close because its message could not be read.
     */
    @Test
    void hundredsOfLongRequestsAtOnceAreAllAnswered() throws Exception {
        List<CompletableFuture<Void>> longRequests = new ArrayList<>();
        List<String> responses = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 250; i++) {
            String prefix = "long" + i + "-";
            longRequests.add(inBackground(() -> {
                for (int request = 0; request < 5; request++) {
                    try (Client client = new Client(respPort)) {
                        responses.add(callWithLongBody(client, prefix + request));
                    }
                }
            }));
        }
        for (CompletableFuture<Void> longRequest : longRequests) {
            longRequest.get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        String served = "echo " + LONG_BODY;
        assertTrue(responses.contains(served));
        assertEquals(
                List.of(),
                responses.stream()
                        .filter(response -> !response.equals(served)
                                && !response.startsWith("-BUSY")
                                && !response.contains("too many bytes of messages wait"))
                        .toList());
        assertUsualClientsWereServed();
    }

    private static String callWithLongBody(Client client, String id) throws IOException {
        String attributes = GatewayProcessFixture.attributes("read", "open", UsualClients.DEADLINE_MS);
        try {
            client.sendCommand("Q.ASK", GatewayProcessFixture.CUSTOMER, id, attributes, LONG_BODY);
        } catch (SocketException e) {
            // the gateway has responded before the request was complete, and closed the connection
        }
        return StubServer.readResp(client.in);
    }

    private void assertUsualClientsWereServed() throws InterruptedException {
        int servedBefore = usualClients.served();
        GatewayProcess.awaitCondition(
                "usual clients are served", () -> usualClients.served() > servedBefore + 10 * USUAL_CLIENTS);
        assertEquals(List.of(), usualClients.stop());
        assertTrue(gateway.isAlive(), () -> gateway.log().toString());
    }

    private interface Task {
        void run() throws Exception;
    }

    private CompletableFuture<Void> inBackground(Task task) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                threads);
    }
}
