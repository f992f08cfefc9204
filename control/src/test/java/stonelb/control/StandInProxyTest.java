package stonelb.control;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.nio.file.Path;
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
