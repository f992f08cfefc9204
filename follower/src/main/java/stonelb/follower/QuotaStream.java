package stonelb.follower;

import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaFilterConfig;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaServiceGrpc;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports.BucketQuotaUsage;
import io.grpc.Channel;
import io.grpc.Metadata;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;

/**
 * The stream to the Rate Limit Quota Service ({@code envoy.service.rate_limit_quota.v3}): sends usage reports, applies
 * assignments to the quota table, and reopens the stream after a failure.
 */
final class QuotaStream {
    private final Channel channel;
    private final QuotaTable quotas;
    private final Supplier<RateLimitQuotaFilterConfig> quotaFilter;
    private final ReconnectBackoff backoff;
    private final DoubleConsumer assignmentsApplied;

    /** The outbound side of the stream; null while there is none. */
    private StreamObserver<RateLimitQuotaUsageReports> requests;

    private boolean domainSent;
    private double retryAtMs;
    private long reportCount;
    private long actionCount;

    /**
     * Creates a stream that is not open yet.
     *
     * @param channel channel to the control service
     * @param quotas buckets to report on and to apply assignments to
     * @param quotaFilter supplies the quota filter in use, null before the first
     * @param backoff delays between attempts to open the stream
     * @param assignmentsApplied called with the current time after a response has been applied
     */
    QuotaStream(
            Channel channel,
            QuotaTable quotas,
            Supplier<RateLimitQuotaFilterConfig> quotaFilter,
            ReconnectBackoff backoff,
            DoubleConsumer assignmentsApplied) {
        this.channel = channel;
        this.quotas = quotas;
        this.quotaFilter = quotaFilter;
        this.backoff = backoff;
        this.assignmentsApplied = assignmentsApplied;
    }

    /** The number of usage reports sent. */
    long reportCount() {
        return reportCount;
    }

    /** The number of bucket actions received. */
    long actionCount() {
        return actionCount;
    }

    /** Opens the stream, unless it is open or there is no quota filter yet. */
    void connect() {
        if (requests != null || quotaFilter.get() == null) {
            return;
        }
        Metadata headers = new Metadata();
        for (HeaderValue header : quotaFilter.get().getRlqsServer().getInitialMetadataList()) {
            headers.put(Metadata.Key.of(header.getKey(), Metadata.ASCII_STRING_MARSHALLER), header.getValue());
        }
        domainSent = false;
        ResponseObserver responses = new ResponseObserver();
        responses.stream = RateLimitQuotaServiceGrpc.newStub(channel)
                .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers))
                .streamRateLimitQuotas(responses);
        requests = responses.stream;
    }

    /** Reopens the stream once the backoff has passed. */
    void reconnectIfDue(double nowMs) {
        if (nowMs >= retryAtMs) {
            connect();
        }
    }

    /** Sends the due usage reports. Usage that can't be sent is added back to its buckets. */
    void sendDueReports(double nowMs) {
        List<BucketQuotaUsage> due = quotas.drainDueUsage(nowMs);
        if (due.isEmpty()) {
            return;
        }
        if (requests == null) {
            quotas.restoreUsage(due);
            return;
        }
        RateLimitQuotaUsageReports.Builder report =
                RateLimitQuotaUsageReports.newBuilder().addAllBucketQuotaUsages(due);
        if (!domainSent) {
            report.setDomain(quotaFilter.get().getDomain());
            domainSent = true;
        }
        reportCount++;
        requests.onNext(report.build());
    }

    private final class ResponseObserver implements StreamObserver<RateLimitQuotaResponse> {
        /** The outbound side of the stream whose responses these are. */
        private StreamObserver<RateLimitQuotaUsageReports> stream;

        @Override
        public void onNext(RateLimitQuotaResponse response) {
            double nowMs = MonotonicClock.nowMs();
            backoff.reset();
            actionCount += response.getBucketActionCount();
            response.getBucketActionList().forEach(action -> quotas.apply(nowMs, action));
            assignmentsApplied.accept(nowMs);
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
                retryAtMs = MonotonicClock.nowMs() + backoff.nextDelayMs();
            }
        }
    }
}
