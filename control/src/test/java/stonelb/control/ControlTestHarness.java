package stonelb.control;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import stonelb.config.Configuration;
import stonelb.follower.ClientOptions;
import stonelb.proxy.StubProxy;
import stonelb.standins.GatewayProcess;
import stonelb.standins.StubFleet;

/** A control service with stub dependencies, and the proxies and raw ADS streams of a test. */
final class ControlTestHarness implements AutoCloseable {
    final StubFleet fleet;
    final Path folder;
    final Path description;
    final List<StubProxy> startedProxies = new ArrayList<>();
    final HttpClient httpClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final ManagedChannel channel;
    final AtomicLong requestIds = new AtomicLong();
    ControlService service;

    ControlTestHarness(Path folder, int endpoints, String extraSettings) throws Exception {
        this.folder = folder;
        fleet = new StubFleet(endpoints);
        description = folder.resolve("plans.yaml");
        Files.writeString(description, StubFleet.DESCRIPTION);
        Files.writeString(folder.resolve("config.json"), fleet.config("control", "127.0.0.1:0", 4));
        service = start("127.0.0.1:0", extraSettings);
        channel = NettyChannelBuilder.forAddress("127.0.0.1", service.port(), InsecureChannelCredentials.create())
                .maxInboundMessageSize(64 << 20)
                .build();
    }

    ControlService start(String listen, String extraSettings) throws Exception {
        String json = "{\"listen\":\"" + listen + "\",\"gateway\":\"" + folder.resolve("config.json")
                + "\",\"description\":\"" + description + "\",\"reloadMs\":50"
                + (extraSettings.contains("\"tls\"") ? "" : ",\"plaintext\":true") + extraSettings + "}";
        ControlSettings settings = ControlSettings.read("test", new Gson().fromJson(json, JsonObject.class));
        ControlService started = new ControlService(
                Configuration.read(
                        Map.of("PROXY_CONFIG", folder.resolve("config.json").toString())),
                settings);
        started.start();
        return started;
    }

    StubProxy startProxy(String node, boolean incremental) throws Exception {
        StubProxy proxy = new StubProxy(new ClientOptions(node, "127.0.0.1", service.port(), incremental, null, 50), 0);
        startedProxies.add(proxy);
        GatewayProcess.awaitCondition(
                node + " is ready", () -> proxy.controlClient().isReady());
        return proxy;
    }

    int sendRequest(StubProxy proxy, String customer, String plan) throws IOException, InterruptedException {
        return sendRequest(proxy, "GET", "/v1/plans/7", customer, plan);
    }

    int sendRequest(StubProxy proxy, String method, String path, String customer, String plan)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + proxy.port() + path))
                .method(method, HttpRequest.BodyPublishers.noBody())
                .header("X-Customer", customer)
                .header("X-Id", Long.toString(requestIds.incrementAndGet()));
        if (plan != null) {
            request.header("X-Plan", plan);
        }
        return httpClient
                .send(request.build(), HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    /** A raw gRPC stream: the test writes the requests; responses and the closing status are queued. */
    static final class RawStream<RequestT, ResponseT> implements ClientResponseObserver<RequestT, ResponseT> {
        final LinkedBlockingQueue<ResponseT> responses = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<Status> closeStatuses = new LinkedBlockingQueue<>();
        ClientCallStreamObserver<RequestT> requests;
        private final boolean manualFlowControl;

        RawStream(boolean manualFlowControl) {
            this.manualFlowControl = manualFlowControl;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<RequestT> stream) {
            requests = stream;
            if (manualFlowControl) {
                stream.disableAutoRequestWithInitial(0);
            }
        }

        @Override
        public void onNext(ResponseT response) {
            responses.add(response);
        }

        @Override
        public void onError(Throwable error) {
            closeStatuses.add(Status.fromThrowable(error));
        }

        @Override
        public void onCompleted() {
            closeStatuses.add(Status.OK);
        }

        ResponseT nextResponse() throws InterruptedException {
            ResponseT response = responses.poll(10, TimeUnit.SECONDS);
            if (response == null) {
                throw new AssertionError("no response; closed: " + closeStatuses.peek());
            }
            return response;
        }

        Status awaitClose() throws InterruptedException {
            return closeStatuses.poll(10, TimeUnit.SECONDS);
        }
    }

    RawStream<DiscoveryRequest, DiscoveryResponse> openStateOfTheWorldStream(boolean manualFlowControl) {
        RawStream<DiscoveryRequest, DiscoveryResponse> stream = new RawStream<>(manualFlowControl);
        AggregatedDiscoveryServiceGrpc.newStub(channel).streamAggregatedResources(stream);
        return stream;
    }

    RawStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> openIncrementalStream() {
        RawStream<DeltaDiscoveryRequest, DeltaDiscoveryResponse> stream = new RawStream<>(false);
        AggregatedDiscoveryServiceGrpc.newStub(channel).deltaAggregatedResources(stream);
        return stream;
    }

    static DiscoveryRequest.Builder request(String node, String type, String... names) {
        return DiscoveryRequest.newBuilder()
                .setNode(Node.newBuilder().setId(node))
                .setTypeUrl(type)
                .addAllResourceNames(List.of(names));
    }

    static DiscoveryRequest.Builder ack(DiscoveryResponse response, String... names) {
        return DiscoveryRequest.newBuilder()
                .setTypeUrl(response.getTypeUrl())
                .setVersionInfo(response.getVersionInfo())
                .setResponseNonce(response.getNonce())
                .addAllResourceNames(List.of(names));
    }

    @Override
    public void close() throws IOException {
        startedProxies.forEach(StubProxy::close);
        channel.shutdownNow();
        service.close();
        fleet.close();
    }
}
