package stonelb.cli;

import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Opens many incremental ADS streams to a control service and measures the bytes of a full push and of one changed
 * endpoint, and the latency of the change.
 */
final class AdsStreamLoad {
    private static final String TYPE_PREFIX = "type.googleapis.com/envoy.config.";
    private static final String CLUSTER = TYPE_PREFIX + "cluster.v3.Cluster";
    private static final String ENDPOINTS = TYPE_PREFIX + "endpoint.v3.ClusterLoadAssignment";
    private static final String LISTENER = TYPE_PREFIX + "listener.v3.Listener";
    private static final String ROUTES = TYPE_PREFIX + "route.v3.RouteConfiguration";
    private static final int RESOURCES_PER_STREAM = 4;

    /** Waits for the endpoint weights, which may still change right after the first push. */
    private static final int WEIGHTS_SETTLE_MS = 1000;

    private static final String CHANGED_SERVER = "s-1";

    private final LocalDeployment deployment;
    private final int streamCount;
    private final ProxyStreams streams;
    private final AtomicLong receivedBytes = new AtomicLong();
    private volatile double phaseStartMs;
    private volatile Throwable streamFailure;

    /**
     * The measured figures.
     *
     * @param fullBytes the bytes of a full push to one stream
     * @param changeBytes the bytes sent on one stream for one changed endpoint
     * @param p99Ms the 99th percentile of the time from the change until a stream acknowledges it, in milliseconds
     */
    record Result(double fullBytes, double changeBytes, double p99Ms) {}

    private AdsStreamLoad(LocalDeployment deployment, int streamCount, ProxyStreams streams) {
        this.deployment = deployment;
        this.streamCount = streamCount;
        this.streams = streams;
    }

    /**
     * Runs the measurement and closes its streams.
     *
     * @throws IOException if the resources or the change did not reach all streams within a minute
     */
    static Result measure(LocalDeployment deployment, int streamCount) throws IOException, InterruptedException {
        try (ProxyStreams streams = new ProxyStreams(deployment, streamCount)) {
            return new AdsStreamLoad(deployment, streamCount, streams).measure();
        }
    }

    private Result measure() throws IOException, InterruptedException {
        double fullBytes = openStreams();
        Thread.sleep(WEIGHTS_SETTLE_MS);
        changeEndpoint();
        Result result = new Result(fullBytes, receivedBytes.get() / (double) streamCount, streams.p99Ms());
        deployment.platform().setStatus(CHANGED_SERVER, "in_service");
        return result;
    }

    /** Opens all streams and returns the bytes of a full push to one of them. */
    private double openStreams() throws IOException, InterruptedException {
        streams.expect(streamCount * RESOURCES_PER_STREAM);
        phaseStartMs = MonotonicClock.nowMs();
        for (int index = 0; index < streamCount; index++) {
            Stream stream = new Stream(streams.nodeId(index));
            AggregatedDiscoveryServiceGrpc.newStub(streams.nextConnection()).deltaAggregatedResources(stream);
            stream.subscribe(); // gRPC buffers messages until the connection is up
        }
        int missing = streams.awaitResponses();
        if (missing > 0) {
            throw new IOException(
                    missing + " resources did not come within 60 s at " + streamCount + " streams: " + streamFailure);
        }
        return receivedBytes.getAndSet(0) / (double) streamCount;
    }

    private void changeEndpoint() throws IOException, InterruptedException {
        receivedBytes.set(0);
        streams.expect(streamCount);
        phaseStartMs = MonotonicClock.nowMs();
        deployment.platform().setStatus(CHANGED_SERVER, "terminating");
        int missing = streams.awaitResponses();
        if (missing > 0) {
            throw new IOException("a change did not reach " + missing + " within 60 s");
        }
    }

    /** One simulated proxy, which subscribes to all resource types and acknowledges every response. */
    private final class Stream implements ClientResponseObserver<DeltaDiscoveryRequest, DeltaDiscoveryResponse> {
        private final String nodeId;
        private ClientCallStreamObserver<DeltaDiscoveryRequest> requests;

        Stream(String nodeId) {
            this.nodeId = nodeId;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<DeltaDiscoveryRequest> requestStream) {
            requests = requestStream;
        }

        void subscribe() {
            subscribe(CLUSTER, List.of());
            subscribe(ENDPOINTS, List.of("plan-servers"));
            subscribe(LISTENER, List.of());
            subscribe(ROUTES, List.of("stonelb-routes"));
        }

        private void subscribe(String resourceType, List<String> names) {
            requests.onNext(DeltaDiscoveryRequest.newBuilder()
                    .setNode(Node.newBuilder().setId(nodeId))
                    .setTypeUrl(resourceType)
                    .addAllResourceNamesSubscribe(names)
                    .build());
        }

        @Override
        public void onNext(DeltaDiscoveryResponse response) {
            requests.onNext(DeltaDiscoveryRequest.newBuilder()
                    .setTypeUrl(response.getTypeUrl())
                    .setResponseNonce(response.getNonce())
                    .build());
            receivedBytes.addAndGet(response.getSerializedSize());
            streams.recordLatency(phaseStartMs);
            int resources = response.getTypeUrl().equals(ENDPOINTS) ? response.getResourcesCount() : 1;
            for (int resource = 0; resource < resources; resource++) {
                streams.countResponse();
            }
        }

        @Override
        public void onError(Throwable failure) {
            streamFailure = failure;
        }

        @Override
        public void onCompleted() {}
    }
}
