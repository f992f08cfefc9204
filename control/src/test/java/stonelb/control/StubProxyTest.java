package stonelb.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.follower.ProxyRequest;
import stonelb.follower.RoutingDecision;
import stonelb.proxy.StubProxy;
import stonelb.standins.StubServer;
import stonelb.standins.StubServer.HttpMessage;

/** Every request that the stub proxy accepts gets exactly one response within its deadline. */
class StubProxyTest {
    private static final int SOCKET_TIMEOUT_MS = 5000;
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(10);

    @TempDir
    Path folder;

    /** Starts a control service whose only endpoint is the given stub. */
    private ControlTestHarness startHarness(StubServer endpoint) throws Exception {
        ControlTestHarness harness = new ControlTestHarness(folder, 0, "");
        harness.fleet.addExternalServer("played", endpoint.address());
        return harness;
    }

    private static StubServer respondingEndpoint(LinkedBlockingQueue<HttpMessage> received) throws IOException {
        return new StubServer((in, out) -> {
            while (true) {
                received.add(StubServer.readHttp(in));
                StubServer.write(out, StubServer.httpResponse(200, "", "answer"));
            }
        });
    }

    private static HttpMessage exchange(StubProxy proxy, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            StubServer.write(socket.getOutputStream(), request);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            return StubServer.readHttp(in);
        }
    }

    private static HttpResponse<String> get(StubProxy proxy, String timeLeftMs) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + proxy.port() + "/v1/plans/7"))
                .header("X-Customer", "a1")
                .header("X-Plan", "red")
                .header("X-Time-Left-Ms", timeLeftMs)
                .timeout(CLIENT_TIMEOUT)
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void requestInAbsoluteFormIsForwarded() throws Exception {
        LinkedBlockingQueue<HttpMessage> received = new LinkedBlockingQueue<>();
        try (StubServer endpoint = respondingEndpoint(received);
                ControlTestHarness harness = startHarness(endpoint)) {
            StubProxy proxy = harness.startProxy("p", true);
            HttpMessage response = exchange(
                    proxy,
                    "GET http://plans/v1/plans/7?a=b HTTP/1.1\r\nHost: plans\r\nX-Plan: red\r\nX-Customer: a1\r\n\r\n");
            assertEquals(200, response.status());
            assertEquals("/v1/plans/7?a=b", received.take().target());
        }
    }

    @Test
    void requestWithInvalidHeaderIsRejected() throws Exception {
        LinkedBlockingQueue<HttpMessage> received = new LinkedBlockingQueue<>();
        try (StubServer endpoint = respondingEndpoint(received);
                ControlTestHarness harness = startHarness(endpoint)) {
            StubProxy proxy = harness.startProxy("p", true);
            HttpMessage response = exchange(
                    proxy,
                    "GET /v1/plans/7 HTTP/1.1\r\nHost: plans\r\nX-Plan: red\r\nX-Customer: a1\r\nX-Odd: a\u0001b\r\n\r\n");
            assertEquals(400, response.status());
            assertTrue(received.isEmpty(), "an attempt was made");
            assertEquals(200, harness.sendRequest(proxy, "a1", "red"));
        }
    }

    @Test
    void responseWhoseBodyStallsEndsAtTheTimeLimit() throws Exception {
        try (StubServer endpoint = new StubServer(StubProxyTest::stallInBody);
                ControlTestHarness harness = startHarness(endpoint)) {
            StubProxy proxy = harness.startProxy("p", true);
            assertEquals(504, get(proxy, "60000").statusCode());
        }
    }

    private static void stallInBody(InputStream in, OutputStream out) throws IOException {
        StubServer.readHttp(in);
        StubServer.write(out, "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nhalf");
        StubServer.readHttp(in); // until the proxy closes the connection
    }

    /**
     * The first attempt fails after a delay; the second has to carry the time that is left then, not the original time.
     */
    @Test
    void attemptCarriesTheRemainingTimeOfTheClient() throws Exception {
        int clientTimeLeftMs = 900;
        int firstAttemptDurationMs = 200;
        LinkedBlockingQueue<Map<String, String>> received = new LinkedBlockingQueue<>();
        StubServer.ConnectionHandler failingFirst = (in, out) -> {
            while (true) {
                received.add(StubServer.readHttp(in).headers());
                boolean first = received.size() == 1;
                if (first) {
                    Thread.sleep(firstAttemptDurationMs);
                }
                StubServer.write(out, StubServer.httpResponse(first ? 500 : 200, "", "answer"));
            }
        };
        try (StubServer endpoint = new StubServer(failingFirst);
                ControlTestHarness harness = startHarness(endpoint)) {
            StubProxy proxy = harness.startProxy("p", true);
            assertEquals(200, get(proxy, Integer.toString(clientTimeLeftMs)).statusCode());
            int firstTimeLeftMs = Integer.parseInt(received.take().get("x-time-left-ms"));
            int secondTimeLeftMs = Integer.parseInt(received.take().get("x-time-left-ms"));
            assertTrue(firstTimeLeftMs >= 1 && firstTimeLeftMs <= clientTimeLeftMs, "first " + firstTimeLeftMs);
            assertTrue(
                    secondTimeLeftMs >= 1 && secondTimeLeftMs <= clientTimeLeftMs - firstAttemptDurationMs,
                    "second " + secondTimeLeftMs);
        }
    }

    /**
     * Without a control service no assignment arrives, so the client's timer decides each request when its wait ends.
     * An exception from one callback must not stop the timer from deciding the others.
     */
    @Test
    void throwingCallbackDoesNotBlockOtherDecisions() throws Exception {
        try (StubServer endpoint = respondingEndpoint(new LinkedBlockingQueue<>());
                ControlTestHarness harness = startHarness(endpoint)) {
            StubProxy proxy = harness.startProxy("p", true);
            harness.service.close();
            ProxyRequest request = new ProxyRequest(
                    "GET", "/v1/plans/7", Map.of(":method", "GET", "x-customer", "a1", "x-plan", "consulta"));
            proxy.controlClient().decide(request, decision -> {
                throw new IllegalStateException("thrown by the test");
            });
            CompletableFuture<RoutingDecision> decision = new CompletableFuture<>();
            proxy.controlClient().decide(request, decision::complete);
            assertNotNull(decision.get(5, TimeUnit.SECONDS));
        }
    }
}
