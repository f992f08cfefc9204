package stonelb.cli;

import com.google.protobuf.util.Durations;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.BucketId;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse.BucketAction;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaServiceGrpc;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports.BucketQuotaUsage;
import io.grpc.Metadata;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import stonelb.control.quota.BucketKey;
import stonelb.control.resources.ResourceFactory;

/**
 * Opens many quota streams to a control service, on each of which a simulated proxy reports its customers' buckets in one
 * message, and measures how long the first assignment of each bucket takes.
 */
final class QuotaStreamLoad implements AutoCloseable {
    private static final Metadata.Key<String> NODE_HEADER =
            Metadata.Key.of(ResourceFactory.NODE_HEADER, Metadata.ASCII_STRING_MARSHALLER);
    private static final int REPORT_INTERVAL_MS = 50;

    private final int streamCount;
    private final ProxyStreams streams;

    /**
     * The measured figures.
     *
     * @param buckets the number of reported buckets
     * @param assigned the number of buckets that received an assignment
     * @param p99Ms the 99th percentile of the time from the report to the assignment, in milliseconds
     */
    record Result(int buckets, int assigned, double p99Ms) {}

    /** Prepares streams; none is opened yet. */
    QuotaStreamLoad(LocalDeployment deployment, int streamCount) {
        this.streamCount = streamCount;
        this.streams = new ProxyStreams(deployment, streamCount);
    }

    /**
     * Reports all buckets at once and waits up to a minute for their assignments; the streams stay open.
     *
     * @param customers the number of customers
     * @param spread the number of proxies that each report one rejected request of every customer
     */
    Result measure(int customers, int spread) throws InterruptedException {
        List<RateLimitQuotaUsageReports> reports = reports(customers, spread);
        int buckets = customers * spread;
        streams.expect(buckets);
        for (int index = 0; index < streamCount; index++) {
            send(streams.nodeId(index), reports.get(index));
        }
        int missing = streams.awaitResponses();
        return new Result(buckets, buckets - missing, streams.p99Ms());
    }

    private List<RateLimitQuotaUsageReports> reports(int customers, int spread) {
        List<RateLimitQuotaUsageReports.Builder> builders = new ArrayList<>();
        for (int index = 0; index < streamCount; index++) {
            builders.add(RateLimitQuotaUsageReports.newBuilder().setDomain(ResourceFactory.DOMAIN));
        }
        for (int customer = 0; customer < customers; customer++) {
            QuotaPlan plan = QuotaPlan.MEASURED.get(customer % QuotaPlan.MEASURED.size());
            BucketId bucketId = BucketId.newBuilder()
                    .putBucket(BucketKey.CUSTOMER, Integer.toHexString(customer + 1))
                    .putBucket(BucketKey.PLAN, plan.name())
                    .putBucket(BucketKey.SPREAD, Integer.toString(spread))
                    .build();
            BucketQuotaUsage usage = BucketQuotaUsage.newBuilder()
                    .setBucketId(bucketId)
                    .setTimeElapsed(Durations.fromMillis(REPORT_INTERVAL_MS))
                    .setNumRequestsDenied(1)
                    .build();
            for (int proxy = 0; proxy < spread; proxy++) {
                builders.get((customer + proxy) % streamCount).addBucketQuotaUsages(usage);
            }
        }
        return builders.stream().map(RateLimitQuotaUsageReports.Builder::build).toList();
    }

    private void send(String nodeId, RateLimitQuotaUsageReports report) {
        Metadata headers = new Metadata();
        headers.put(NODE_HEADER, nodeId);
        AssignmentObserver observer = new AssignmentObserver(MonotonicClock.nowMs());
        RateLimitQuotaServiceGrpc.newStub(streams.nextConnection())
                .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers))
                .streamRateLimitQuotas(observer)
                .onNext(report);
    }

    @Override
    public void close() {
        streams.close();
    }

    /** Records the first assignment of each bucket on one stream. */
    private final class AssignmentObserver implements StreamObserver<RateLimitQuotaResponse> {
        private final Set<BucketId> assigned = ConcurrentHashMap.newKeySet();
        private final double startMs;

        AssignmentObserver(double startMs) {
            this.startMs = startMs;
        }

        @Override
        public void onNext(RateLimitQuotaResponse response) {
            for (BucketAction action : response.getBucketActionList()) {
                if (assigned.add(action.getBucketId())) {
                    streams.recordLatency(startMs);
                    streams.countResponse();
                }
            }
        }

        @Override
        public void onError(Throwable failure) {
            // The buckets of this stream are counted as not assigned.
        }

        @Override
        public void onCompleted() {}
    }
}
