package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;
import stonelb.standins.StubServer;

/** Tests the watch on a discovery service that fails or is overloaded. */
class DiscoveryWatchTest {
    @TempDir
    Path folder;

    private final List<String> discoveryTargets = new CopyOnWriteArrayList<>();
    private volatile String watchResponse;

    private void serveDiscovery(InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            String target = StubServer.readHttp(in).target();
            discoveryTargets.add(target);
            StubServer.write(
                    out, target.contains("index=") ? watchResponse : StubServer.httpResponse(200, "", snapshot));
            Thread.sleep(20);
        }
    }

    private volatile String snapshot;

    private static String emptyDelta(int index) {
        return StubServer.httpResponse(200, "", "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[]}");
    }

    @Test
    void failedWatchRestartsWithSnapshotWhileLastListIsUsed() throws Exception {
        try (StubPlatform platform = new StubPlatform();
                StubServer discovery = new StubServer(this::serveDiscovery)) {
            snapshot = platform.endpointList();
            for (String invalidResponse : List.of(
                    StubServer.httpResponse(410, "", "gone"),
                    StubServer.httpResponse(200, "", "{nonsense"),
                    StubServer.httpResponse(200, "", "{\"endpoints\":[{\"name\":5}]}"),
                    "garbage\r\n\r\n")) {
                discoveryTargets.clear();
                watchResponse = invalidResponse;
                String config = platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN)
                        .replace(platform.discovery.address(), discovery.address());
                try (GatewayProcess program = new GatewayProcess(folder, config, null);
                        Client client = new Client(program.port("RESP2 requests"))) {
                    GatewayProcess.awaitCondition(
                            "the gateway requests a snapshot again",
                            () -> discoveryTargets.stream()
                                            .filter(requested -> requested.equals("/catalog/members"))
                                            .count()
                                    >= 3);
                    assertEquals(
                            "echo x",
                            client.call(
                                    "Q.ASK",
                                    "0000000000000001",
                                    "2",
                                    "c=read,t=open,d=9000,units=1,spread=1,first=0",
                                    "x"));
                    watchResponse = emptyDelta(0);
                    int before = discoveryTargets.size();
                    GatewayProcess.awaitCondition("the watch continues", () -> discoveryTargets.size() > before + 10);
                    assertTrue(
                            discoveryTargets.get(discoveryTargets.size() - 1).contains("index=0&wait="),
                            discoveryTargets.toString());
                    assertEquals(null, program.firstLogLine("internal error"));
                }
            }
        }
    }

    /** A service that was restarted counts versions anew; changes that it reports are not those since the version held. */
    @Test
    void restartedDiscoveryIsAskedForItsCompleteList() throws Exception {
        try (StubPlatform platform = new StubPlatform();
                StubServer discovery = new StubServer(this::serveDiscovery)) {
            snapshot = platform.endpointList().replaceFirst("\"index\":\\d+", "\"index\":41");
            watchResponse = emptyDelta(41);
            String config = platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN)
                    .replace(platform.discovery.address(), discovery.address());
            try (GatewayProcess program = new GatewayProcess(folder, config, null)) {
                program.port("RESP2 requests");
                GatewayProcess.awaitCondition("the list is watched", () -> discoveryTargets.stream()
                        .anyMatch(requested -> requested.contains("index=41&")));
                int before = discoveryTargets.size();
                snapshot = snapshot.replace("\"index\":41", "\"index\":5");
                watchResponse = emptyDelta(5);
                GatewayProcess.awaitCondition(
                        "the complete list is requested",
                        () -> discoveryTargets.stream().skip(before).anyMatch("/catalog/members"::equals));
                GatewayProcess.awaitCondition(
                        "the new versions are used",
                        () -> discoveryTargets.get(discoveryTargets.size() - 1).contains("index=5&"));
            }
        }
    }

    /** Snapshot requests must not add load to an overloaded discovery. */
    @Test
    void overloadedDiscoveryIsPolledForDeltasOnly() throws Exception {
        try (StubPlatform platform = new StubPlatform();
                StubServer discovery = new StubServer(this::serveDiscovery)) {
            snapshot = platform.endpointList();
            watchResponse = StubServer.httpResponse(503, "", "busy");
            String config = platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN)
                    .replace(platform.discovery.address(), discovery.address());
            try (GatewayProcess program = new GatewayProcess(folder, config, null);
                    Client client = new Client(program.port("RESP2 requests"))) {
                GatewayProcess.awaitCondition("the gateway polls again", () -> discoveryTargets.size() >= 4);
                assertEquals(
                        List.of(),
                        discoveryTargets.stream()
                                .skip(1)
                                .filter(requested -> !requested.contains("index="))
                                .toList());
                assertEquals(
                        "echo x",
                        client.call(
                                "Q.ASK",
                                "0000000000000001",
                                "2",
                                "c=read,t=open,d=9000,units=1,spread=1,first=0",
                                "x"));
            }
        }
    }

    /** Even the first request must not go to an endpoint that discovery reports as draining. */
    @Test
    void gatewayDoesNotListenBeforeFirstDiscoveryResponse() throws Exception {
        BlockingQueue<GatewayProcess> started = new LinkedBlockingQueue<>();
        List<String> prematureLogLines = new CopyOnWriteArrayList<>();
        try (StubPlatform platform = new StubPlatform();
                StubServer discovery = new StubServer((in, out) -> {
                    GatewayProcess program = null;
                    while (true) {
                        boolean isFirst = StubServer.readHttp(in).target().endsWith("wait=1");
                        program = program == null ? started.take() : program;
                        for (int i = 0;
                                i < 10 && isFirst && prematureLogLines.isEmpty();
                                i++) { // long enough for a premature listen to be logged
                            String line = program.firstLogLine(" listens for ");
                            prematureLogLines.addAll(line == null ? List.of() : List.of(line));
                            Thread.sleep(10);
                        }
                        StubServer.write(
                                out,
                                StubServer.httpResponse(
                                        200,
                                        "",
                                        isFirst
                                                ? platform.endpointList().replace("in_service", "terminating")
                                                : snapshot));
                    }
                })) {
            snapshot = emptyDelta(0).replace("\"index\":0", "\"index\":5");
            String config = platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN)
                    .replace(platform.discovery.address(), discovery.address());
            try (GatewayProcess program = new GatewayProcess(folder, config, null)) {
                started.add(program);
                try (Client client = new Client(program.port("RESP2 requests"))) {
                    assertEquals(List.of(), prematureLogLines);
                    assertTrue(
                            client.call(
                                            "Q.ASK",
                                            "0000000000000001",
                                            "2",
                                            "c=read,t=open,d=900,units=1,spread=1,first=0",
                                            "x")
                                    .startsWith("-BUSY"),
                            "the draining endpoint gets no request");
                    assertEquals(List.of(), platform.executedRequests);
                }
            }
        }
    }

    /** Idle clients must leave file descriptors for discovery when it recovers, the quota counter and endpoints. */
    @Test
    void idleClientsLeaveDescriptorsWhileDiscoveryIsDown() throws Exception {
        int descriptors = 200;
        CompletableFuture<Void> recovered = new CompletableFuture<>();
        List<Client> idleClients = new ArrayList<>();
        try (StubPlatform platform = new StubPlatform();
                StubServer discovery = new StubServer((in, out) -> {
                    while (true) {
                        StubServer.readHttp(in);
                        if (!recovered.isDone()) {
                            in.read(); // no response until the watch times out
                            return;
                        }
                        StubServer.write(
                                out,
                                StubServer.httpResponse(
                                        200, "", platform.endpointList().replace("\"index\":0", "\"index\":9")));
                        Thread.sleep(20);
                    }
                });
                StubServer unreachable = new StubServer((in, out) -> {})) {
            String config = platform.config("127.0.0.1:0", GatewayProcess.FIVE_UNIT_PLAN)
                    .replace(platform.discovery.address(), discovery.address())
                    .replace("\"sockets\":1024", "\"sockets\":" + descriptors)
                    .replace(
                            platform.endpointList(),
                            platform.endpointList().replace(platform.resp.address(), unreachable.address()));
            try (GatewayProcess program = GatewayProcess.withDescriptorLimit(folder, config, descriptors)) {
                int port = program.port("RESP2 requests");
                for (int i = 0; i < 2 * descriptors; i++) {
                    Client client = new Client(port);
                    idleClients.add(client);
                    try {
                        client.write("*1\r\n$4\r\nPING\r\n");
                    } catch (IOException e) {
                        // closed by the gateway already
                    }
                }
                GatewayProcess.awaitCondition(
                        "the watch times out", () -> program.firstLogLine("discovery unavailable") != null);
                recovered.complete(null);
                GatewayProcess.awaitCondition(
                        "the gateway uses the endpoints that discovery reports after its recovery", () -> {
                            try (Client client = new Client(port)) {
                                return "echo x"
                                        .equals(client.call(
                                                "Q.ASK",
                                                "0000000000000001",
                                                "2",
                                                "c=read,t=five,d=900,units=1,spread=1,first=0",
                                                "x"));
                            } catch (IOException e) {
                                return false; // closed by the gateway
                            }
                        });
                GatewayProcess.awaitCondition(
                        "the counter is called",
                        () -> !platform.counterCalls.isEmpty()); // the call may follow the response
            }
        } finally {
            for (Client client : idleClients) {
                client.close();
            }
        }
    }
}
