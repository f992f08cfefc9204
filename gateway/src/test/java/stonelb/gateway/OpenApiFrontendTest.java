package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;
import stonelb.standins.StubServer;

/** Tests the gateway process over HTTP, with routes from a description, against stub servers. */
class OpenApiFrontendTest {
    static final String DESCRIPTION =
            """
            openapi: 3.1.0
            info: {title: plans, version: '1'}
            servers: [{url: 'https://api.example/v1'}]
            paths:
              /plans/{id}:
                get: {x-stonelb-class: read}
                head: {x-stonelb-class: read}
              /logs:
                post: {x-stonelb-class: log, x-stonelb-cost: 1}
              /unmarked:
                post: {}
            """;

    @TempDir
    Path folder;

    private StubPlatform platform;
    private GatewayProcess gateway;
    private Client client;

    static String settings(Path description, int serverPort) {
        return "{\"enabled\":true,\"listen\":\"127.0.0.1:0\",\"description\":\"" + description + "\",\"serverPort\":"
                + serverPort + ",\"reloadMs\":20}";
    }

    @BeforeEach
    void start() throws Exception {
        platform = new StubPlatform();
        Files.writeString(folder.resolve("plans.yaml"), DESCRIPTION);
        gateway = new GatewayProcess(
                folder,
                platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN + "," + GatewayProcess.FIVE_UNIT_PLAN),
                settings(folder.resolve("plans.yaml"), platform.http.port()));
        client = new Client(gateway.port("HTTP requests"));
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        gateway.close();
        platform.close();
    }

    /** Formats a request of a customer of a plan, whose body tells the stub endpoint what to do. */
    static String request(String methodAndTarget, String plan, int timeoutMs, String body) {
        return methodAndTarget + " HTTP/1.1\r\nHost: x\r\nX-Customer: b4d65521\r\nX-Plan: " + plan
                + "\r\nX-Time-Left-Ms: "
                + timeoutMs
                + "\r\nX-Spread: 1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                + (methodAndTarget.startsWith("GET")
                        ? "X-Body: " + body + "\r\n\r\n"
                        : "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private StubServer.HttpMessage get(String path, int timeoutMs, String body) throws IOException {
        return client.httpCall(request("GET " + path, "open", timeoutMs, body));
    }

    private StubServer.HttpMessage post(String path, int timeoutMs, String body) throws IOException {
        return client.httpCall(request("POST " + path, "open", timeoutMs, body));
    }

    @Test
    void forwardsRequestAndResponse() throws IOException {
        StubServer.HttpMessage response = get("/v1/plans/7?a=b", 5000, "x");
        assertEquals(200, response.status());
        assertEquals("echo x", response.body());
        assertEquals("yes", response.headers().get("x-own"));
        String sent = platform.receivedRequests.get(0);
        assertTrue(sent.startsWith("GET /v1/plans/7?a=b HTTP/1.1 "), sent);
        assertFalse(
                sent.contains("x-hop") || sent.contains("connection"), "hop-by-hop headers are not forwarded: " + sent);
        int leftMs = Integer.parseInt(sent.replaceAll(".*x-time-left-ms=(\\d+).*", "$1"));
        assertTrue(leftMs > 0 && leftMs < 5000, sent);
    }

    @Test
    void invalidRequestsAreRejectedAndNotForwarded() throws IOException {
        assertEquals(404, get("/v1/other", 5000, "x").status());
        StubServer.HttpMessage methodNotAllowed = post("/v1/plans/7", 5000, "x");
        assertEquals(405, methodNotAllowed.status());
        assertEquals("GET, HEAD", methodNotAllowed.headers().get("allow"));
        assertEquals(400, get("/v1/plans/../logs", 5000, "x").status());
        assertEquals(
                400,
                client.httpCall(request("GET /v1/plans/7", "none", 5000, "x")).status());
        assertEquals(
                400,
                client.httpCall("GET /v1/plans/7 HTTP/1.1\r\nX-Plan: open\r\n\r\n")
                        .status());
        assertEquals(0, platform.executedRequests.size());
        assertEquals(200, get("/v1/plans/7", 5000, "x").status());
    }

    @Test
    void malformedInputIsAnsweredAndGatewayKeepsServing() throws IOException {
        for (String malformed : new String[] {
            "nonsense\r\n\r\n",
            "GET / HTTP/1.1\r\nbroken\r\n\r\n",
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "\u0000\u0001\r\n"
        }) {
            try (Client other = new Client(client.socket.getPort())) {
                StubServer.HttpMessage response = other.httpCall(malformed);
                assertEquals(400, response.status());
                assertEquals("close", response.headers().get("connection"));
                assertEquals(-1, other.in.read());
            }
        }
        assertEquals(200, get("/v1/plans/7", 5000, "x").status());
    }

    @Test
    void connectionWithoutRequestIsClosedAndPartialRequestIsRejected() throws IOException {
        try (Client clientWithoutRequest = new Client(client.socket.getPort())) {
            StubServer.HttpMessage response = client.httpCall("POST /v1/logs HTTP/1.1\r\nContent-Length: 5\r\n\r\nhal");
            assertEquals(400, response.status());
            assertEquals(-1, client.in.read());
            assertEquals(-1, clientWithoutRequest.in.read());
        }
    }

    @Test
    void requestBeyondQuotaGets429WithRetryAfter() throws IOException {
        StubServer.HttpMessage last = null;
        for (int i = 0; i < 6; i++) {
            last = client.httpCall(request("GET /v1/plans/7", "five", 15_000, "x"));
        }
        assertEquals(429, last.status());
        assertTrue(Integer.parseInt(last.headers().get("retry-after")) >= 1);
        assertEquals(5, platform.executedRequests.size());
    }

    @Test
    void failuresAre502TimeoutsAre504AndNonIdempotentRequestsAreSentOnce() throws IOException {
        assertEquals(502, post("/v1/logs", 5000, "fail").status());
        assertEquals(502, post("/v1/logs", 5000, "reset").status());
        assertEquals(504, post("/v1/logs", 600, "slow 20000").status());
        assertEquals(502, post("/v1/unmarked", 5000, "fail").status());
        assertEquals(4, platform.executedRequests.size(), "each was executed once: " + platform.executedRequests);
        assertTrue(gateway.firstLogLine("POST /unmarked has no class, using log") != null);
        assertEquals(200, post("/v1/logs", 5000, "x").status());
    }

    @Test
    void pipelinedResponsesKeepTheirOrderAndCloseIsHonoured() throws IOException {
        client.write(request("GET /v1/plans/1", "open", 9000, "slow 300")
                + request("GET /v1/nowhere", "open", 9000, "x")
                + request("GET /v1/plans/2", "open", 9000, "quick").replace("keep-alive", "close"));
        assertEquals("echo slow 300", StubServer.readHttp(client.in).body());
        assertEquals(404, StubServer.readHttp(client.in).status());
        StubServer.HttpMessage third = StubServer.readHttp(client.in);
        assertEquals("echo quick", third.body());
        assertEquals("close", third.headers().get("connection"));
        assertEquals(-1, client.in.read());
    }

    @Test
    void headResponsesStateLengthWithoutBody() throws IOException {
        for (String path : new String[] {"/v1/plans/7", "/v1/nowhere"}) {
            client.write(request("GET " + path, "open", 9000, "x").replaceFirst("GET", "HEAD"));
            String line = StubServer.readLine(client.in);
            assertTrue(line.startsWith(path.endsWith("7") ? "HTTP/1.1 200" : "HTTP/1.1 404"), line);
            int length = 0;
            for (; !line.isEmpty(); line = StubServer.readLine(client.in)) {
                length = line.toLowerCase(Locale.ROOT).startsWith("content-length: ")
                        ? Integer.parseInt(line.substring(16))
                        : length;
            }
            assertTrue(length > 0);
        }
        assertEquals("echo next", get("/v1/plans/7", 9000, "next").body());
    }

    @Test
    void expect100ContinueIsAnswered() throws IOException {
        client.write(String.join(
                "\r\n",
                "POST /v1/logs HTTP/1.1",
                "X-Customer: 1",
                "X-Plan: open",
                "Expect: 100-continue",
                "Content-Length: 2",
                "",
                ""));
        assertEquals(100, StubServer.readHttp(client.in).status());
        client.write("hi");
        assertEquals("echo hi", StubServer.readHttp(client.in).body());
    }

    @Test
    void requestInFlightKeepsItsRoute() throws Exception {
        client.write(request("POST /v1/logs", "open", 15_000, "slow 1500"));
        GatewayProcess.awaitCondition("the request is in flight", () -> !platform.executedRequests.isEmpty());
        // The POST route is replaced by an idempotent GET route while the request is in flight.
        Files.writeString(
                folder.resolve("plans.yaml"),
                DESCRIPTION.replace(
                        "post: {x-stonelb-class: log, " + "x-stonelb-cost: 1}", "get: {x-stonelb-class: read}"));
        GatewayProcess.awaitCondition(
                "the description is reloaded", () -> gateway.firstLogLine("reloaded: 4 operations") != null);
        try (Client other = new Client(client.socket.getPort())) {
            assertEquals(
                    405,
                    other.httpCall(request("POST /v1/logs", "open", 5000, "x")).status());
            assertEquals(
                    200,
                    other.httpCall(request("GET /v1/logs", "open", 5000, "y")).status());
        }
        assertEquals("echo slow 1500", StubServer.readHttp(client.in).body());
    }

    @Test
    void invalidDescriptionIsLoggedAndCurrentOneKept() throws Exception {
        Files.writeString(folder.resolve("plans.yaml"), DESCRIPTION.replace("class: read", "class: nonsense"));
        GatewayProcess.awaitCondition(
                "the invalid description is rejected",
                () -> gateway.firstLogLine("description rejected, keeping the current one") != null);
        assertTrue(gateway.firstLogLine("description rejected, keeping the current one")
                .contains("GET /plans/{id} has the class nonsense"));
        assertEquals(200, get("/v1/plans/7", 5000, "x").status());
        Files.writeString(folder.resolve("plans.yaml"), DESCRIPTION + "  /new:\n    get: {x-stonelb-class: read}\n");
        GatewayProcess.awaitCondition(
                "the next valid one is in use", () -> gateway.firstLogLine("reloaded: 5 operations") != null);
        assertEquals(200, get("/v1/new", 5000, "x").status());
    }

    @Test
    void gracefulShutdownAnswersRequestsInFlight() throws Exception {
        client.write(request("POST /v1/logs", "open", 15_000, "slow 1200"));
        GatewayProcess.awaitCondition("the request is in flight", () -> !platform.executedRequests.isEmpty());
        gateway.sendSigterm();
        assertEquals("echo slow 1200", StubServer.readHttp(client.in).body());
        assertTrue(gateway.awaitExit(20_000));
    }

    @Test
    void invalidSettingsAreReportedInOneLine() throws Exception {
        Path description = folder.resolve("bad.yaml");
        Files.writeString(description, "openapi: 2.0.0");
        String config = platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN);
        for (String invalidSettings : new String[] {
            settings(description, 80),
            settings(folder.resolve("none.yaml"), 80),
            "{}",
            settings(folder.resolve("plans.yaml"), 0),
            "{\"enabled\":true}",
            "nonsense"
        }) {
            try (GatewayProcess other = new GatewayProcess(folder, config, invalidSettings)) {
                assertTrue(other.awaitExit(20_000), invalidSettings);
                assertNotEquals(0, other.exitCode());
                GatewayProcess.awaitCondition(
                        "it logs the reason", () -> !other.log().isEmpty());
                assertEquals(1, other.log().size(), other.log().toString());
            }
        }
    }
}
