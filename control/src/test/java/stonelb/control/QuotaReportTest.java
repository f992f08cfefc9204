package stonelb.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.envoyproxy.envoy.service.rate_limit_quota.v3.BucketId;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaServiceGrpc;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports.BucketQuotaUsage;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.stub.MetadataUtils;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.control.ControlTestHarness.RawStream;
import stonelb.control.resources.ResourceFactory;
import stonelb.standins.GatewayProcess;

/** Usage reports that the control service rejects, sent over real gRPC streams. */
class QuotaReportTest {
    @TempDir
    Path folder;

    private static RawStream<RateLimitQuotaUsageReports, RateLimitQuotaResponse> openStream(
            ControlTestHarness harness, String node) {
        Metadata headers = new Metadata();
        headers.put(Metadata.Key.of(ResourceFactory.NODE_HEADER, Metadata.ASCII_STRING_MARSHALLER), node);
        RawStream<RateLimitQuotaUsageReports, RateLimitQuotaResponse> stream = new RawStream<>(false);
        RateLimitQuotaServiceGrpc.newStub(harness.channel)
                .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers))
                .streamRateLimitQuotas(stream);
        return stream;
    }

    private static BucketQuotaUsage usage(String customer) {
        return BucketQuotaUsage.newBuilder()
                .setBucketId(BucketId.newBuilder().putBucket("customer", customer))
                .setNumRequestsAllowed(1)
                .build();
    }

    @Test
    void invalidReportEndsTheStreamWithInvalidArgument() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 1, "")) {
            var otherDomain = openStream(harness, "p-1");
            otherDomain.requests.onNext(RateLimitQuotaUsageReports.newBuilder()
                    .setDomain("other")
                    .addBucketQuotaUsages(usage("a1"))
                    .build());
            Status status = otherDomain.awaitClose();
            assertEquals(Status.Code.INVALID_ARGUMENT, status.getCode());
            assertTrue(status.getDescription().contains("'other'"), status.getDescription());

            var tooManyBuckets = openStream(harness, "p-2");
            var report = RateLimitQuotaUsageReports.newBuilder().setDomain(ResourceFactory.DOMAIN);
            for (int bucket = 0; bucket <= ControlLimits.MAX_BUCKETS_PER_REPORT; bucket++) {
                report.addBucketQuotaUsages(usage("b" + bucket));
            }
            tooManyBuckets.requests.onNext(report.build());
            assertEquals(
                    Status.Code.INVALID_ARGUMENT, tooManyBuckets.awaitClose().getCode());
        }
    }

    /**
     * Reports that a proxy sent before it received the rejection are not counted, and don't mark it as connected again.
     */
    @Test
    void reportsAfterAnInvalidOneAreIgnored() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 1, "")) {
            var stream = openStream(harness, "p");
            stream.requests.onNext(
                    RateLimitQuotaUsageReports.newBuilder().setDomain("other").build());
            for (int report = 0; report < 20; report++) {
                stream.requests.onNext(RateLimitQuotaUsageReports.newBuilder()
                        .addBucketQuotaUsages(usage("a1"))
                        .build());
            }
            assertEquals(Status.Code.INVALID_ARGUMENT, stream.awaitClose().getCode());
            GatewayProcess.awaitCondition("the proxy is disconnected and has not reported", () -> {
                String status = AdsTest.StatusJson.read(harness);
                return !status.contains("\"awayMs\":0,")
                        && status.contains("\"reportAgeMs\":-1,")
                        && status.contains("\"oddReports\":0,");
            });
        }
    }
}
