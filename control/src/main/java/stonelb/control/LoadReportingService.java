package stonelb.control;

import com.google.protobuf.util.Durations;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.EndpointLoadMetricStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import io.envoyproxy.envoy.service.load_stats.v3.LoadReportingServiceGrpc.LoadReportingServiceImplBase;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;

/**
 * The Load Reporting Service (LRS, {@code envoy.service.load_stats.v3}): receives what proxies measure at the
 * endpoints.
 */
final class LoadReportingService extends LoadReportingServiceImplBase {
    /** The named metric for the sum of the latencies of the measured requests, in ms. */
    static final String LATENCY_METRIC = "latency_ms";

    private static final double MIN_INTERVAL_MS = 50;
    private static final long MAX_ISSUED_REQUESTS = 1_000_000;

    private final ProxyReports reports;
    private final double intervalMs;

    LoadReportingService(ProxyReports reports, double intervalMs) {
        this.reports = reports;
        this.intervalMs = intervalMs;
    }

    @Override
    public StreamObserver<LoadStatsRequest> streamLoadStats(StreamObserver<LoadStatsResponse> responses) {
        return new LoadReportStream(responses, NodeIdentityInterceptor.NODE.get());
    }

    /** The load reports of one stream. */
    private final class LoadReportStream implements StreamObserver<LoadStatsRequest> {
        private final StreamObserver<LoadStatsResponse> responses;
        private final String headerNode; // or null
        private String node; // null until the first report is accepted
        private boolean rejected;

        LoadReportStream(StreamObserver<LoadStatsResponse> responses, String headerNode) {
            this.responses = responses;
            this.headerNode = headerNode;
        }

        @Override
        public void onNext(LoadStatsRequest request) {
            if (rejected || (node == null && !identify(request.getNode().getId()))) {
                return;
            }
            for (ClusterStats cluster : request.getClusterStatsList()) {
                report(cluster);
            }
        }

        /** Determines the node from the first report or else from the header, and requests reports on all endpoints. */
        private boolean identify(String reportedNode) {
            String candidate = reportedNode.isEmpty() ? headerNode : reportedNode;
            if (!isPermitted(candidate)) {
                rejected = true;
                responses.onError(Status.PERMISSION_DENIED
                        .withDescription("load reports name no node, or one that is not this peer's")
                        .asRuntimeException());
                return false;
            }
            node = candidate;
            responses.onNext(LoadStatsResponse.newBuilder()
                    .setSendAllClusters(true)
                    .setReportEndpointGranularity(true)
                    .setLoadReportingInterval(Durations.fromMillis((long) Math.max(MIN_INTERVAL_MS, intervalMs)))
                    .build());
            return true;
        }

        private boolean isPermitted(String candidate) {
            return candidate != null
                    && (headerNode == null || candidate.equals(headerNode))
                    && NodeIdentityInterceptor.isPeerAuthorizedFor(candidate);
        }

        private void report(ClusterStats cluster) {
            for (UpstreamLocalityStats locality : cluster.getUpstreamLocalityStatsList()) {
                long issued = locality.getTotalIssuedRequests();
                if (issued > 0) {
                    reports.requestsIssued(node, cluster.getClusterName(), Math.min(MAX_ISSUED_REQUESTS, issued));
                }
                for (UpstreamEndpointStats endpoint : locality.getUpstreamEndpointStatsList()) {
                    report(endpoint);
                }
            }
        }

        private void report(UpstreamEndpointStats endpoint) {
            if (!hasValidCounts(endpoint)) {
                return;
            }
            double totalLatencyMs = 0;
            long measured = 0;
            for (EndpointLoadMetricStats metric : endpoint.getLoadMetricStatsList()) {
                if (isValidLatency(metric)) {
                    totalLatencyMs += metric.getTotalMetricValue();
                    measured += metric.getNumRequestsFinishedWithMetric();
                }
            }
            SocketAddress address = endpoint.getAddress().getSocketAddress();
            EndpointLoadReport load = new EndpointLoadReport(
                    address.getAddress() + ":" + address.getPortValue(),
                    endpoint.getTotalSuccessfulRequests(),
                    endpoint.getTotalErrorRequests(),
                    endpoint.getTotalRequestsInProgress(),
                    totalLatencyMs,
                    measured);
            reports.loadReported(node, load);
        }

        @Override
        public void onError(Throwable error) {}

        @Override
        public void onCompleted() {
            if (!rejected) {
                responses.onCompleted();
            }
        }
    }

    /** Counts are unsigned on the wire: 2^63 or more is read as a negative number and is not plausible. */
    private static boolean hasValidCounts(UpstreamEndpointStats endpoint) {
        return endpoint.getTotalSuccessfulRequests() >= 0
                && endpoint.getTotalErrorRequests() >= 0
                && endpoint.getTotalRequestsInProgress() >= 0;
    }

    private static boolean isValidLatency(EndpointLoadMetricStats metric) {
        return metric.getMetricName().equals(LATENCY_METRIC)
                && metric.getNumRequestsFinishedWithMetric() > 0
                && metric.getTotalMetricValue() >= 0
                && Double.isFinite(metric.getTotalMetricValue());
    }
}
