package stonelb.follower;

import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.Channel;
import io.grpc.stub.StreamObserver;
import java.util.Collection;
import java.util.SplittableRandom;

/**
 * The stream to the Load Reporting Service ({@code envoy.service.load_stats.v3}): reports the load of the pools at the
 * interval that the service asks for.
 */
final class LoadReportStream {
    private static final double DEFAULT_INTERVAL_MS = 1000;
    private static final double MIN_INTERVAL_MS = 20;
    private static final double MIN_RETRY_DELAY_MS = ReconnectBackoff.MIN_DELAY_MS;
    private static final double RETRY_JITTER_MS = ReconnectBackoff.MAX_DELAY_MS / 4;

    private final Channel channel;
    private final String nodeId;
    private final Collection<EndpointPool> pools;
    private final SplittableRandom random;

    /** The outbound side of the stream; null while there is none. */
    private StreamObserver<LoadStatsRequest> requests;

    private double intervalMs = DEFAULT_INTERVAL_MS;
    private double nextReportAtMs;
    private double retryAtMs;

    /**
     * Creates a stream that is not open yet.
     *
     * @param channel channel to the control service
     * @param nodeId node id of the proxy
     * @param pools live view of the pools to report on
     * @param random source of the jitter
     */
    LoadReportStream(Channel channel, String nodeId, Collection<EndpointPool> pools, SplittableRandom random) {
        this.channel = channel;
        this.nodeId = nodeId;
        this.pools = pools;
        this.random = random;
    }

    /** Sends a report if one is due, or opens the stream if it is not open. */
    void sendReportIfDue(double nowMs) {
        if (nowMs < nextReportAtMs) {
            return;
        }
        nextReportAtMs = nowMs + intervalMs;
        if (requests == null) {
            if (nowMs >= retryAtMs) {
                connect();
            }
            return;
        }
        LoadStatsRequest.Builder report = LoadStatsRequest.newBuilder();
        pools.forEach(pool -> report.addClusterStats(pool.loadReport(nowMs)));
        requests.onNext(report.build());
    }

    private void connect() {
        ResponseObserver responses = new ResponseObserver();
        responses.stream = LoadReportingServiceGrpc.newStub(channel).streamLoadStats(responses);
        requests = responses.stream;
        requests.onNext(LoadStatsRequest.newBuilder()
                .setNode(Node.newBuilder().setId(nodeId))
                .build());
    }

    private final class ResponseObserver implements StreamObserver<LoadStatsResponse> {
        /** The outbound side of the stream whose responses these are. */
        private StreamObserver<LoadStatsRequest> stream;

        @Override
        public void onNext(LoadStatsResponse response) {
            intervalMs = Math.max(MIN_INTERVAL_MS, ProtoDurations.toMillis(response.getLoadReportingInterval()));
        }

        @Override
        public void onError(Throwable failure) {
            streamEnded();
        }

        @Override
        public void onCompleted() {
            streamEnded();
        }

        private void streamEnded() {
            if (requests == stream) {
                requests = null;
                retryAtMs = MonotonicClock.nowMs() + MIN_RETRY_DELAY_MS + random.nextDouble() * RETRY_JITTER_MS;
            }
        }
    }
}
