package stonelb.control;

import com.google.protobuf.Duration;
import com.google.protobuf.util.Durations;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaServiceGrpc.RateLimitQuotaServiceImplBase;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports.BucketQuotaUsage;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import stonelb.control.resources.ResourceFactory;

/**
 * The Rate Limit Quota Service (RLQS, {@code envoy.service.rate_limit_quota.v3}): receives usage reports and sends
 * quota assignments.
 */
final class RateLimitQuotaService extends RateLimitQuotaServiceImplBase {
    private static final double NANOS_PER_MS = 1e6;
    private static final double NO_ELAPSED_TIME = -1;

    private final ProxyRegistry registry;
    private final ProxyReports reports;
    private final AssignmentEncoder encoder;

    RateLimitQuotaService(ProxyRegistry registry, ProxyReports reports, AssignmentEncoder encoder) {
        this.registry = registry;
        this.reports = reports;
        this.encoder = encoder;
    }

    @Override
    public StreamObserver<RateLimitQuotaUsageReports> streamRateLimitQuotas(
            StreamObserver<RateLimitQuotaResponse> responses) {
        ServerCallStreamObserver<RateLimitQuotaResponse> stream =
                (ServerCallStreamObserver<RateLimitQuotaResponse>) responses;
        String node = NodeIdentityInterceptor.NODE.get();
        if (node == null) {
            stream.onError(Status.UNAUTHENTICATED
                    .withDescription("neither a certificate nor the header " + ResourceFactory.NODE_HEADER
                            + " says whose quotas these are")
                    .asRuntimeException());
            return new IgnoringObserver<>();
        }
        AssignmentOutbox outbox = new AssignmentOutbox(stream, encoder);
        stream.setOnReadyHandler(outbox::flush);
        stream.setOnCancelHandler(() -> registry.quotaStreamClosed(node, outbox));
        registry.quotaStreamOpened(node, outbox);
        return new UsageReportStream(node, outbox);
    }

    /** The usage reports of one stream. */
    private final class UsageReportStream implements StreamObserver<RateLimitQuotaUsageReports> {
        private final String node;
        private final AssignmentOutbox outbox;
        private boolean firstReportReceived;

        UsageReportStream(String node, AssignmentOutbox outbox) {
            this.node = node;
            this.outbox = outbox;
        }

        @Override
        public void onNext(RateLimitQuotaUsageReports message) {
            String error = validationError(message);
            firstReportReceived = true;
            if (error != null) {
                outbox.close(Status.INVALID_ARGUMENT.withDescription(error));
                close();
                return;
            }
            for (BucketQuotaUsage usage : message.getBucketQuotaUsagesList()) {
                reports.usageReported(node, toUsageReport(usage));
            }
        }

        /** Why the message is invalid, or null if it is valid. */
        private String validationError(RateLimitQuotaUsageReports message) {
            if (!firstReportReceived && !message.getDomain().equals(ResourceFactory.DOMAIN)) {
                return "the first report names the domain '" + message.getDomain() + "', not " + ResourceFactory.DOMAIN;
            }
            if (message.getBucketQuotaUsagesCount() > ControlLimits.MAX_BUCKETS_PER_REPORT) {
                return "a report on too many buckets";
            }
            return null;
        }

        @Override
        public void onError(Throwable error) {
            close();
        }

        @Override
        public void onCompleted() {
            close();
        }

        private void close() {
            registry.quotaStreamClosed(node, outbox);
        }
    }

    private static UsageReport toUsageReport(BucketQuotaUsage usage) {
        Duration elapsed = usage.getTimeElapsed();
        return new UsageReport(
                usage.getBucketId().getBucketMap(),
                usage.getNumRequestsAllowed(),
                usage.getNumRequestsDenied(),
                Durations.isValid(elapsed) ? Durations.toNanos(elapsed) / NANOS_PER_MS : NO_ELAPSED_TIME);
    }

    /** Ignores the messages of a stream that was rejected. */
    private static final class IgnoringObserver<T> implements StreamObserver<T> {
        @Override
        public void onNext(T message) {}

        @Override
        public void onError(Throwable error) {}

        @Override
        public void onCompleted() {}
    }
}
