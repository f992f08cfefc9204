package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.config.Configuration;
import stonelb.core.QuotaCounter;
import stonelb.core.RequestTable;
import stonelb.core.TimerQueue;
import stonelb.decision.Outcome;
import stonelb.discovery.EndpointList;
import stonelb.discovery.EndpointStartTimes;
import stonelb.gateway.endpoint.EndpointConnections;
import stonelb.gateway.frontend.Frontend;
import stonelb.gateway.openapi.OpenApiFrontend;
import stonelb.gateway.openapi.OpenApiSettings;
import stonelb.gateway.platform.PlatformFrontend;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;
import stonelb.standins.StubServer;

/**
 * Sends the same mixed traffic through both frontends, over sockets and on a stopped clock, so that only the frontend
 * differs: responses, requests executed by the endpoint and calls to the quota counter must be equal.
 */
class ReplayTest {
    private static final int REQUESTS = 200;
    private static final String[] BODIES = {"a", "b", "c", "d", "fail", "away", "reset"};
    private static final String[] CUSTOMERS = {
        "00000000b4d65521", "000000000000001f", "00000000000077aa", "0000000000000005"
    }; // the last customer has no quota

    @TempDir
    Path folder;

    private record ReplayedRequest(boolean log, String customer, String plan, String body) {}

    /** The observed effects of a replay. */
    private record ReplayResult(
            List<String> responses,
            List<String> executedBodies,
            List<String> counterCalls,
            Map<Long, Double> counterTotals) {}

    private static List<ReplayedRequest> traffic() {
        Random random = new Random(20);
        List<ReplayedRequest> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int customer = random.nextInt(CUSTOMERS.length);
            requests.add(new ReplayedRequest(
                    random.nextInt(3) == 0,
                    CUSTOMERS[customer],
                    customer == CUSTOMERS.length - 1 ? "open" : "wide",
                    BODIES[random.nextInt(BODIES.length)]));
        }
        return requests;
    }

    private ReplayResult replay(boolean openApi) throws Exception {
        try (StubPlatform platform = new StubPlatform()) {
            Files.writeString(
                    folder.resolve("plans.yaml"),
                    OpenApiFrontendTest.DESCRIPTION.replace(
                            "x-stonelb-class: read", "x-stonelb-class: read, x-stonelb-cost: 2"));
            Files.writeString(
                    folder.resolve("openapi.json"),
                    OpenApiFrontendTest.settings(folder.resolve("plans.yaml"), platform.http.port())
                            .replace("\"reloadMs\":20", "\"reloadMs\":600000"));
            Files.writeString(
                    folder.resolve("config.json"),
                    platform.config(
                            "127.0.0.1:0",
                            GatewayProcess.UNLIMITED_PLAN
                                    + ",{\"name\":\"wide\",\"unitsPerS\":0.5,\"depth\":40,\"worthFactor\":1,\"overrunCost\":1}"));
            Configuration config = Configuration.read(
                    Map.of("PROXY_CONFIG", folder.resolve("config.json").toString()));
            OpenApiSettings openApiSettings = OpenApiSettings.read(folder.resolve("openapi.json"));
            RateLimitedLog log = new RateLimitedLog();
            EventLoop loop = new EventLoop(log);
            TimerQueue stoppedTimers = new TimerQueue(
                    new TimerQueue.Alarm() { // the decision engine's clock, the same for both frontends
                        @Override
                        public double now() {
                            return 1_000_000;
                        }

                        @Override
                        public void wakeAt(double whenMs) {}
                    });
            Map<Long, Double> counterTotals = new TreeMap<>();
            List<String> counterCalls = new ArrayList<>();
            CompletableFuture<InetSocketAddress> created = new CompletableFuture<>();
            Frontend[] frontend = new Frontend[1];
            loop.execute(() -> {
                try {
                    EndpointConnections connections =
                            new EndpointConnections(loop, log, 5000, 30_000, 100, openApiSettings.serverPort());
                    RequestTable[] requests = new RequestTable[1];
                    QuotaCounter counter = (name, amount, keepMs) -> {
                        counterCalls.add(name + " " + amount);
                        double total = counterTotals.merge(name, amount, Double::sum);
                        loop.execute(() -> requests[0].counterAnswered(name, Outcome.OK, 1, total));
                    };
                    requests[0] = new RequestTable(
                            config.settings(),
                            config.seed(),
                            stoppedTimers,
                            connections,
                            counter,
                            e -> created.completeExceptionally(e));
                    connections.start(requests[0]);
                    new EndpointList(
                                    config.zones(),
                                    new EndpointStartTimes(stoppedTimers::now, stoppedTimers::now),
                                    requests[0]::endpointsChanged,
                                    connections)
                            .loadCached(new Gson().fromJson(platform.endpointList(), JsonObject.class));
                    frontend[0] = openApi
                            ? new OpenApiFrontend(loop, log, requests[0], config, openApiSettings, 100)
                            : new PlatformFrontend(loop, log, requests[0], config, 100, () -> true);
                    created.complete(null);
                } catch (Exception e) {
                    created.completeExceptionally(e);
                }
            });
            created.get(20, TimeUnit.SECONDS);
            List<String> responses = new ArrayList<>();
            try (Client client = new Client(frontend[0].listen(config.listen()).getPort())) {
                for (ReplayedRequest request : traffic()) {
                    String id = "id" + responses.size();
                    responses.add(openApi ? sendOverHttp(client, request) : sendOverResp(client, id, request));
                }
            }
            CompletableFuture<ReplayResult> result = new CompletableFuture<>();
            loop.execute(() -> {
                frontend[0].closeIdleConnections(true);
                result.complete(new ReplayResult(
                        responses,
                        new ArrayList<>(platform.executedRequests),
                        new ArrayList<>(counterCalls),
                        new HashMap<>(counterTotals)));
            });
            return result.get(20, TimeUnit.SECONDS);
        }
    }

    private static String sendOverResp(Client client, String id, ReplayedRequest request) throws Exception {
        String response = client.call(
                request.log ? "Q.DO" : "Q.ASK",
                request.customer,
                id,
                "c=" + (request.log ? "log" : "read") + ",t=" + request.plan + ",d=9000,units=" + (request.log ? 1 : 2)
                        + ",spread=1,first=0",
                request.body);
        return response.startsWith("-BUSY") ? "rejected" : response.startsWith("-ERR") ? "failed" : response;
    }

    private static String sendOverHttp(Client client, ReplayedRequest request) throws Exception {
        StubServer.HttpMessage response = client.httpCall(OpenApiFrontendTest.request(
                        request.log ? "POST /v1/logs" : "GET /v1/plans/7", request.plan, 9000, request.body)
                .replace("b4d65521", request.customer));
        return response.status() == 429 ? "rejected" : response.status() == 502 ? "failed" : response.body();
    }

    @Test
    void bothFrontendsProduceSameResponsesAndCounts() throws Exception {
        ReplayResult platform = replay(false);
        ReplayResult openApi = replay(true);
        assertEquals(platform.responses, openApi.responses);
        assertEquals(platform.executedBodies, openApi.executedBodies);
        assertEquals(platform.counterCalls, openApi.counterCalls);
        assertEquals(platform.counterTotals, openApi.counterTotals);
        for (String kind : List.of("rejected", "failed", "echo a")) {
            assertTrue(platform.responses.contains(kind), "the traffic contains no response " + kind);
        }
        assertTrue(
                platform.counterCalls.size() > 3 && platform.counterTotals.size() == CUSTOMERS.length - 1,
                platform.counterCalls.toString());
    }
}
