package stonelb.follower;

import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.BucketId;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse.BucketAction;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports.BucketQuotaUsage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The quota buckets of one proxy under the Rate Limit Quota Service ({@code envoy.service.rate_limit_quota.v3}):
 * applies assignments, decides on requests and collects usage reports. The class does no I/O.
 *
 * <p>A new assignment is charged with the requests that were allowed since the last report, because the
 * service did not know of them when it granted the assignment; they would otherwise be granted twice.
 */
final class QuotaTable {
    private final Map<BucketId, QuotaBucket> buckets = new HashMap<>();

    /**
     * Decides on a request and creates its bucket if it is unknown. If the bucket has no assignment and the request may
     * wait, the request waits for the first one, since requests allowed by the fallback are charged to the assignment
     * later.
     *
     * @param nowMs current time in milliseconds
     * @param bucketId id of the request's bucket
     * @param settings settings for the bucket if it has to be created
     * @param mayWait whether the request may wait for an assignment; its last try passes false
     * @param firstTry whether this is the request's first try; a waiting request is counted as denied only then
     */
    QuotaDecision tryAcquire(
            double nowMs, BucketId bucketId, RateLimitQuotaBucketSettings settings, boolean mayWait, boolean firstTry) {
        QuotaBucket bucket = buckets.get(bucketId);
        if (bucket == null) {
            bucket = new QuotaBucket(settings, nowMs);
            buckets.put(bucketId, bucket);
        }
        return bucket.tryAcquire(nowMs, mayWait, firstTry);
    }

    /** Applies a bucket action of the service. Actions for unknown buckets are ignored. */
    void apply(double nowMs, BucketAction action) {
        QuotaBucket bucket = buckets.get(action.getBucketId());
        if (bucket == null) {
            return;
        }
        if (!action.hasAbandonAction()) {
            bucket.assign(action.getQuotaAssignmentAction(), nowMs);
        } else if (!bucket.hasUnreportedUsage()) {
            buckets.remove(action.getBucketId());
        }
    }

    /** Returns the usage that is due for a report and resets its counts. */
    List<BucketQuotaUsage> drainDueUsage(double nowMs) {
        List<BucketQuotaUsage> due = new ArrayList<>();
        buckets.forEach((bucketId, bucket) -> {
            if (bucket.isReportDue(nowMs)) {
                due.add(bucket.drainUsage(bucketId, nowMs));
            }
        });
        return due;
    }

    /** Whether a bucket needs an assignment, so that a report has to be sent before the next interval. */
    boolean hasUrgentReport(double nowMs) {
        return buckets.values().stream().anyMatch(bucket -> bucket.isUrgentReportDue(nowMs));
    }

    /** Adds back usage that was drained and could not be sent. */
    void restoreUsage(List<BucketQuotaUsage> unsent) {
        for (BucketQuotaUsage usage : unsent) {
            QuotaBucket bucket = buckets.get(usage.getBucketId());
            if (bucket != null) {
                bucket.restoreUsage(usage);
            }
        }
    }

    int size() {
        return buckets.size();
    }
}
