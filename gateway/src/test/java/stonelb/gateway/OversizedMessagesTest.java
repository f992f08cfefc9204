package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.OversizedMessages;
import stonelb.standins.StubPlatform;
import stonelb.standins.StubServer;

/** Guards against peers that end the gateway by filling its heap with one message, with the heap of the deploy file. */
class OversizedMessagesTest {
    private static final String CLOSED = "closed";

    /** The time within which a client that sends 60 MB gets an error or a close. */
    private static final int RESPONSE_LIMIT_MS = 6000;

    @TempDir
    Path folder;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private StubPlatform platform;
    private GatewayProcess gateway;
    private Client usualClient;
    private int requests;

    /** Writes an oversized message. */
    private interface MessageWriter {
        void write(OutputStream out) throws IOException;
    }

    @BeforeEach
    void start() throws Exception {
        platform = new StubPlatform();
        Files.writeString(folder.resolve("plans.yaml"), OpenApiFrontendTest.DESCRIPTION);
        gateway = startGateway(platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN));
        usualClient = new Client(gateway.port("RESP2 requests"));
    }

    private GatewayProcess startGateway(String config) throws IOException {
        return new GatewayProcess(
                folder,
                config,
                OpenApiFrontendTest.settings(folder.resolve("plans.yaml"), platform.http.port()),
                "@deploy/jvm.options",
                "-cp",
                System.getProperty("java.class.path"),
                "stonelb.gateway.Main");
    }

    @AfterEach
    void stop() throws IOException {
        threads.shutdownNow();
        usualClient.close();
        gateway.close();
        platform.close();
    }

    /** One client, then several at once, send arrays of small elements whose total size no single limit bounded. */
    @Test
    void nestedValuesFromClientsAreRejectedAndOthersServed() throws Exception {
        List<String> elements = List.of(
                "+" + "x".repeat(4000) + "\r\n",
                "-x\r\n",
                ":1\r\n",
                "$-1\r\n",
                "$0\r\n\r\n",
                "$100\r\n" + "x".repeat(100) + "\r\n");
        int port = usualClient.socket.getPort();
        List<MessageWriter> values = new ArrayList<>();
        for (String element : elements) {
            values.add(out -> OversizedMessages.writeNestedValue(out, element));
        }
        assertRejectedWhileOthersAreServed(port, values.subList(0, 1), "-ERR Protocol error");
        assertRejectedWhileOthersAreServed(port, values, "-ERR Protocol error");
    }

    /** The response of an endpoint is parsed like a client's request and must be bounded in the same way. */
    @Test
    void nestedValueFromEndpointFailsTheAttemptAndOthersAreServed() throws IOException {
        assertEquals(
                "-ERR failed",
                usualClient.call(
                        "Q.DO",
                        GatewayProcessFixture.CUSTOMER,
                        "1",
                        GatewayProcessFixture.attributes("log", "open", 9000),
                        "oversized"));
        assertUsualRequestIsServed();
        assertTrue(gateway.firstLogLine("a value is too large") != null, "the connection is closed at the limit");
    }

    /** Clients repeat headers without end; the joined values must neither fill the heap nor occupy the event loop. */
    @Test
    void headsFromClientsAreRejectedAndOthersServed() throws Exception {
        List<MessageWriter> heads = new ArrayList<>();
        for (String header : List.of("X-A: " + "x".repeat(200), "A:", "X-A: " + "x".repeat(8000), "Cookie: a=b")) {
            heads.add(out -> OversizedMessages.writeHead(out, "GET /v1/plans/7 HTTP/1.1", header));
            heads.add(out -> OversizedMessages.writeHead(out, "POST /v1/logs HTTP/1.1", header));
        }
        int port = gateway.port("HTTP requests");
        assertRejectedWhileOthersAreServed(port, heads.subList(0, 1), "HTTP/1.1 431 ");
        assertRejectedWhileOthersAreServed(port, heads, "HTTP/1.1 431 ");
    }

    /** The head of an endpoint's response must be bounded like that of a request. */
    @Test
    void headFromEndpointFailsTheAttemptAndOthersAreServed() throws Exception {
        try (Client client = new Client(gateway.port("HTTP requests"))) {
            assertEquals(
                    502,
                    client.httpCall(OpenApiFrontendTest.request("POST /v1/logs", "open", 9000, "oversized"))
                            .status());
        }
        assertUsualRequestIsServed();
        assertTrue(gateway.firstLogLine("the headers of a message are too large") != null);
    }

    /** Discovery answers with JSON that is within the limit of a response but takes many times its size as a tree. */
    @Test
    void endpointListOfSmallElementsIsRejectedAndRequestsServed() throws Exception {
        String elements = "1,".repeat(524_000) + "1";
        String list = platform.endpointList();
        String malformed = list.replaceFirst("\\[.*\\]", "[" + elements + "]");
        String withUnknownMember = list.replace("}]", ",\"other\":[" + elements + "]}]");
        String nestedDeeply = list.replace("}]", ",\"other\":" + "[".repeat(1_040_000));
        for (String response : List.of(malformed, withUnknownMember, nestedDeeply)) {
            AtomicInteger lists = new AtomicInteger();
            try (StubServer discovery = new StubServer((in, out) -> {
                        while (true) {
                            StubServer.readHttp(in);
                            StubServer.write(out, StubServer.httpResponse(200, "", response));
                            lists.incrementAndGet();
                        }
                    });
                    GatewayProcess other = startGateway(platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN)
                            .replace(platform.discovery.address(), discovery.address()))) {
                usualClient.close();
                usualClient = new Client(other.port("RESP2 requests"));
                GatewayProcess.awaitCondition("three lists were sent", () -> lists.get() >= 3);
                assertUsualRequestIsServed();
                assertTrue(other.isAlive(), () -> other.log().toString());
            }
        }
    }

    /** Sends all messages at once; usual requests are served until each sender has an error or a close. */
    private void assertRejectedWhileOthersAreServed(int port, List<MessageWriter> messages, String error)
            throws Exception {
        List<CompletableFuture<String>> outcomes = new ArrayList<>();
        for (MessageWriter message : messages) {
            outcomes.add(CompletableFuture.supplyAsync(() -> sendUntilAnswered(port, message), threads));
        }
        CompletableFuture<Void> all = CompletableFuture.allOf(outcomes.toArray(CompletableFuture[]::new));
        long startedAt = System.nanoTime();
        do {
            assertUsualRequestIsServed();
        } while (!all.isDone() && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt) < RESPONSE_LIMIT_MS);
        for (CompletableFuture<String> outcome : outcomes) {
            String firstLine = outcome.getNow("no response within " + RESPONSE_LIMIT_MS + " ms");
            assertTrue(firstLine.startsWith(error) || firstLine.equals(CLOSED), firstLine);
        }
        assertUsualRequestIsServed();
        assertTrue(gateway.isAlive(), () -> gateway.log().toString());
    }

    private void assertUsualRequestIsServed() throws IOException {
        assertEquals(
                "echo x",
                usualClient.call(
                        "Q.ASK",
                        GatewayProcessFixture.CUSTOMER,
                        "u" + requests++,
                        GatewayProcessFixture.attributes("read", "open", 9000),
                        "x"));
    }

    /** Sends a message while reading, and returns the first line of the response or {@link #CLOSED}. */
    private String sendUntilAnswered(int port, MessageWriter message) {
        try (Client client = new Client(port)) {
            CompletableFuture<String> firstLine = CompletableFuture.supplyAsync(() -> readFirstLine(client), threads);
            try {
                message.write(client.out);
            } catch (SocketException e) {
                // the gateway closed the connection, possibly after a response
            }
            return firstLine.join();
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String readFirstLine(Client client) {
        try {
            return StubServer.readLine(client.in);
        } catch (EOFException | SocketException e) {
            return CLOSED;
        } catch (IOException e) {
            return e.toString();
        }
    }
}
