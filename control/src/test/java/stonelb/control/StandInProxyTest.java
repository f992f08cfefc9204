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
import stonelb.proxy.StandInProxy;
import stonelb.standins.StubServer;
import stonelb.standins.StubServer.HttpText;

/** Every request that the stub proxy accepts gets one response, in time. */
class StandInProxyTest {
    private static final int SOCKET_TIMEOUT_MS = 5000;
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(10);

    @TempDir
    Path folder;

    /** A control service and a proxy with one endpoint, which the test plays. */
    private ControlTestHarness harness(StubServer endpoint) throws Exception {
        ControlTestHarness harness = new ControlTestHarness(folder, 0, "");
        harness.fleet.addAt("played", endpoint.address());
        return harness;
    }

    private static StubServer answering(LinkedBlockingQueue<HttpText> received) throws IOException {
        return new StubServer((in, out) -> {
            while (true) {
                received.add(StubServer.http(in));
                StubServer.write(out, StubServer.httpAnswer(200, "", "answer"));
            }
        });
    }

    private static HttpText exchange(StandInProxy proxy, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            StubServer.write(socket.getOutputStream(), request);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            return StubServer.http(in);
        }
    }

    private static HttpResponse<String> get(StandInProxy proxy, String timeLeftMs) throws Exception {
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
        LinkedBlockingQueue<HttpText> received = new LinkedBlockingQueue<>();
        try (StubServer endpoint = answering(received);
                ControlTestHarness harness = harness(endpoint)) {
            StandInProxy proxy = harness.startProxy("p", true);
            HttpText response = exchange(
                    proxy,
                    "GET http://plans/v1/plans/7?a=b HTTP/1.1\r\nHost: plans\r\nX-Plan: red\r\nX-Customer: a1\r\n\r\n");
            assertEquals(200, response.status());
            assertEquals("/v1/plans/7?a=b", received.take().target());
        }
    }

    @Test
    void requestThatCanNotBeForwardedIsRejected() throws Exception {
        LinkedBlockingQueue<HttpText> received = new LinkedBlockingQueue<>();
        try (StubServer endpoint = answering(received);
                ControlTestHarness harness = harness(endpoint)) {
            StandInProxy proxy = harness.startProxy("p", true);
            HttpText response = exchange(
                    proxy,
                    "GET /v1/plans/7 HTTP/1.1\r\nHost: plans\r\nX-Plan: red\r\nX-Customer: a1\r\nX-Odd: a\u0001b\r\n\r\n");
            assertEquals(400, response.status());
            assertTrue(received.isEmpty(), "no attempt was made");
            assertEquals(200, harness.sendRequest(proxy, "a1", "red"));
        }
    }

    @Test
    void responseWhoseBodyStallsEndsAtTheTimeLimit() throws Exception {
        try (StubServer endpoint = new StubServer(StandInProxyTest::stallInBody);
                ControlTestHarness harness = harness(endpoint)) {
            StandInProxy proxy = harness.startProxy("p", true);
            assertEquals(504, get(proxy, "60000").statusCode());
        }
    }

    private static void stallInBody(InputStream in, OutputStream out) throws IOException {
        StubServer.http(in);
        StubServer.write(out, "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nhalf");
        StubServer.http(in); // until the proxy closes the connection
    }

    /** The first attempt takes a while and fails; the second is told what is left then. */
    @Test
    void endpointIsToldWhatTheClientHasLeft() throws Exception {
        int clientHasMs = 900;
        int firstAttemptMs = 200;
        LinkedBlockingQueue<Map<String, String>> received = new LinkedBlockingQueue<>();
        StubServer.ConnectionHandler failingFirst = (in, out) -> {
            while (true) {
                received.add(StubServer.http(in).headers());
                boolean first = received.size() == 1;
                if (first) {
                    Thread.sleep(firstAttemptMs);
                }
                StubServer.write(out, StubServer.httpAnswer(first ? 500 : 200, "", "answer"));
            }
        };
        try (StubServer endpoint = new StubServer(failingFirst);
                ControlTestHarness harness = harness(endpoint)) {
            StandInProxy proxy = harness.startProxy("p", true);
            assertEquals(200, get(proxy, Integer.toString(clientHasMs)).statusCode());
            int firstMs = Integer.parseInt(received.take().get("x-time-left-ms"));
            int secondMs = Integer.parseInt(received.take().get("x-time-left-ms"));
            assertTrue(firstMs >= 1 && firstMs <= clientHasMs, "first " + firstMs);
            assertTrue(secondMs >= 1 && secondMs <= clientHasMs - firstAttemptMs, "second " + secondMs);
        }
    }

    /** Without a service there is no assignment: requests are decided at the end of their wait, by the client's timer. */
    @Test
    void callbackThatThrowsKeepsNoOtherRequestFromItsDecision() throws Exception {
        try (StubServer endpoint = answering(new LinkedBlockingQueue<>());
                ControlTestHarness harness = harness(endpoint)) {
            StandInProxy proxy = harness.startProxy("p", true);
            harness.service.close();
            ProxyRequest request = new ProxyRequest(
                    "GET", "/v1/plans/7", Map.of(":method", "GET", "x-customer", "a1", "x-plan", "consulta"));
            proxy.follower().decide(request, decision -> {
                throw new IllegalStateException("planted");
            });
            CompletableFuture<RoutingDecision> decision = new CompletableFuture<>();
            proxy.follower().decide(request, decision::complete);
            assertNotNull(decision.get(5, TimeUnit.SECONDS));
        }
    }
}
