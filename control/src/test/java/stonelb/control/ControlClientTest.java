package stonelb.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.follower.ClientOptions;
import stonelb.proxy.StubProxy;
import stonelb.standins.GatewayProcess;

/** Stub proxies that serve HTTP on loopback, as clients of the control service. */
class ControlClientTest {
    @TempDir
    Path folder;

    @Test
    void bothVariantsServeRejectAndDrain() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 4, "")) {
            for (boolean incremental : new boolean[] {false, true}) {
                StubProxy proxy = harness.startProxy("p-" + incremental, incremental);
                String customer = incremental ? "b1" : "a1";
                int served = 0;
                int rejected = 0;
                for (int i = 0; i < 40; i++) {
                    int status = harness.sendRequest(proxy, customer, "consulta");
                    served += status == 200 ? 1 : 0;
                    rejected += status == 429 ? 1 : 0;
                }
                assertEquals(40, served + rejected);
                assertTrue(served >= 2 && served <= 20, "a quota of 8 and 2 a second: " + served);
                assertEquals(400, harness.sendRequest(proxy, customer, "no-such-plan"));
                assertEquals(400, harness.sendRequest(proxy, customer, null));
                assertEquals(404, harness.sendRequest(proxy, "GET", "/v2/plans/7", customer, "red"));
                assertEquals(404, harness.sendRequest(proxy, "DELETE", "/v1/sessions", customer, "red"));
                assertEquals(200, harness.sendRequest(proxy, "POST", "/v1/sessions", "c" + customer, "red"));
            }
            StubProxy proxy = harness.startProxy("p-drain", true);
            harness.fleet.setStatus("s-2", "terminating");
            GatewayProcess.awaitCondition(
                    "the draining endpoint gets no new requests", () -> proxy.controlClient().pools().values().stream()
                            .allMatch(pool -> pool.endpoints().stream()
                                            .filter(endpoint -> !endpoint.acceptsRequests())
                                            .count()
                                    == 1));
            harness.fleet.receivedRequests.clear();
            for (int i = 0; i < 30; i++) {
                harness.sendRequest(proxy, "d" + i, "red");
            }
            Set<String> usedEndpoints = new TreeSet<>();
            harness.fleet.receivedRequests.forEach(request -> usedEndpoints.add(request.server()));
            assertEquals(Set.of("s-0", "s-1", "s-3"), usedEndpoints);
        }
    }

    /** A session log that may have been executed is never retried; a read is, at another endpoint. */
    @Test
    void retriesDependOnTheRequestClass() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 2, "")) {
            StubProxy proxy = harness.startProxy("p", false);
            harness.fleet.server("s-0").setFailing(true);
            for (int i = 0; i < 8; i++) {
                assertEquals(200, harness.sendRequest(proxy, "e" + i, "red"));
            }
            harness.fleet.receivedRequests.clear();
            int failed = 0;
            for (int i = 0; i < 8; i++) {
                failed += harness.sendRequest(proxy, "POST", "/v1/sessions", "f" + i, "red") == 200 ? 0 : 1;
            }
            assertTrue(failed > 0, "no request reached the failing endpoint");
            assertEquals(8, harness.fleet.receivedRequests.size(), "a session log was attempted more than once");
        }
    }

    @Test
    void proxiesServeDuringRestartOfTheServiceAndReconnect() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 2, "")) {
            StubProxy proxy = harness.startProxy("p", true);
            assertEquals(200, harness.sendRequest(proxy, "aa", "red"));
            int port = harness.service.port();
            harness.service.close();
            int served = 0;
            for (int i = 0; i < 20; i++) {
                served += harness.sendRequest(proxy, "bb" + i, "red") == 200 ? 1 : 0;
            }
            assertEquals(20, served, "customers without an assignment start with the fallback quota");
            harness.service = harness.start("127.0.0.1:" + port, "");
            GatewayProcess.awaitCondition("the proxy is registered again", () -> {
                try {
                    return AdsTest.StatusJson.read(harness).contains("\"node\":\"p\"")
                            && harness.sendRequest(proxy, "cc", "red") == 200;
                } catch (Exception e) {
                    return false;
                }
            });
        }
    }

    /** Leases expire after half a second and none can be renewed: the fallback quota still limits the proxy. */
    @Test
    void fallbackQuotaHoldsWhileTheCounterIsUnreachable() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 2, ",\"lifeMs\":500")) {
            StubProxy proxy = harness.startProxy("p", true);
            double startedAtSeconds = System.nanoTime() / 1e9;
            int served = 0;
            for (int i = 0; i < 10; i++) {
                served += harness.sendRequest(proxy, "ad", "consulta") == 200 ? 1 : 0;
            }
            harness.fleet.counterUnresponsive = true;
            int sent = 0;
            int servedWithoutCounter = 0;
            for (; System.nanoTime() / 1e9 - startedAtSeconds < 5; sent++) {
                servedWithoutCounter += harness.sendRequest(proxy, "ad", "consulta") == 200 ? 1 : 0;
            }
            // The limit in docs/design/control.md: the quota of 8 and 2 a second, two bursts and one request per proxy.
            double limit = 8 + 2 * (System.nanoTime() / 1e9 - startedAtSeconds) + 2 * 8 + 1;
            assertTrue(sent > limit, sent + " requests are too few to exceed the limit");
            assertTrue(
                    servedWithoutCounter >= 1 && served + servedWithoutCounter <= limit,
                    served + " and " + servedWithoutCounter + " without the counter, limit " + limit);
            harness.fleet.counterUnresponsive = false;
            GatewayProcess.awaitCondition(
                    "leases are granted again", () -> harness.sendRequest(proxy, "ad", "consulta") == 200);
        }
    }

    /** One customer through proxies of two services: the counter accounts for the leases of both services. */
    @Test
    void twoServicesBehindOneCounterEnforceOneQuota() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 2, "")) {
            StubProxy firstProxy = harness.startProxy("p-1", true);
            try (ControlService secondService = harness.start("127.0.0.1:0", "")) {
                StubProxy secondProxy =
                        new StubProxy(new ClientOptions("p-2", "127.0.0.1", secondService.port(), true, null, 50), 0);
                harness.startedProxies.add(secondProxy);
                GatewayProcess.awaitCondition(
                        "the proxy is registered with the second service",
                        () -> secondProxy.controlClient().isReady());
                double startedAtSeconds = System.nanoTime() / 1e9;
                int[] served = new int[2];
                // Long enough to distinguish two quotas from one quota plus the allowance below.
                for (int i = 0; System.nanoTime() / 1e9 - startedAtSeconds < 5; i++) {
                    served[i % 2] +=
                            harness.sendRequest(i % 2 == 0 ? firstProxy : secondProxy, "ab", "consulta") == 200 ? 1 : 0;
                }
                double quota = 8 + 2 * (System.nanoTime() / 1e9 - startedAtSeconds);
                int totalServed = served[0] + served[1];
                // Allowance: the initial burst of the local shares, and the first request of the fallback quota at each
                // proxy.
                assertTrue(totalServed <= quota + 8 + 2, totalServed + " served of a quota of " + quota);
                assertTrue(served[0] > 0 && served[1] > 0 && totalServed >= 6, served[0] + " and " + served[1]);
                harness.fleet.counterUnresponsive = true;
                harness.service.close();
                assertEquals(200, harness.sendRequest(secondProxy, "ac", "red"), "the second service continues");
            }
        }
    }
}
