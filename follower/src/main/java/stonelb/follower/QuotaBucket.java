package stonelb.follower;

import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings.ExpiredAssignmentBehavior;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.BucketId;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse.BucketAction.QuotaAssignmentAction;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaUsageReports.BucketQuotaUsage;
import io.envoyproxy.envoy.type.v3.RateLimitStrategy;
import io.envoyproxy.envoy.type.v3.RateLimitUnit;
import io.envoyproxy.envoy.type.v3.TokenBucket;

/**
 * One quota bucket: its current rate limit strategy, its tokens, and the usage since the last report.
 *
 * <p>Without an assignment the bucket uses the fallback of {@code no_assignment_behavior}. When an assignment
 * expires, the bucket switches to the fallback of {@code expired_assignment_behavior}, and after its timeout back to the
 * one of {@code no_assignment_behavior}. After an expiry, both fallbacks start with no tokens, so that the burst allowance
 * is not granted twice.
 */
final class QuotaBucket {
    /** The minimum time between reports on a bucket that needs an assignment immediately. */
    private static final double MIN_URGENT_REPORT_GAP_MS = 10;

    /** The next lease is requested when less than this fraction of the maximum number of tokens is left. */
    private static final double LOW_TOKENS_FRACTION = 0.25;

    private static final double SECOND_MS = 1000;
    private static final double MINUTE_MS = 60 * SECOND_MS;
    private static final double HOUR_MS = 60 * MINUTE_MS;
    private static final double DAY_MS = 24 * HOUR_MS;

    private final RateLimitQuotaBucketSettings settings;

    /** Whether there is an assignment or the fallback of an expired one. */
    private boolean assigned;

    /** Whether the assignment has expired and its fallback applies. */
    private boolean expired;

    private double expiresAtMs = Double.POSITIVE_INFINITY;

    private boolean denyAll;
    private boolean allowAll;
    private double tokens;
    private double maxTokens;
    private double tokensPerMs;
    private double refilledAtMs;

    private long allowedSinceReport;
    private long deniedSinceReport;
    private double reportedAtMs;
    private boolean reported;
    private boolean urgent;

    QuotaBucket(RateLimitQuotaBucketSettings settings, double nowMs) {
        this.settings = settings;
        reportedAtMs = nowMs;
        applyStrategy(settings.getNoAssignmentBehavior().getFallbackRateLimit(), nowMs, 0);
        urgent = true;
    }

    /** Decides on a request; see {@link QuotaTable#tryAcquire}. */
    QuotaDecision tryAcquire(double nowMs, boolean mayWait, boolean firstTry) {
        refresh(nowMs);
        if (allowAll || (!denyAll && tokens >= 1 && (assigned || !mayWait))) {
            tokens -= allowAll ? 0 : 1;
            allowedSinceReport++;
            urgent |= tokens < maxTokens * LOW_TOKENS_FRACTION && hasLiveAssignment();
            return QuotaDecision.ALLOW;
        }
        if (mayWait) {
            deniedSinceReport += firstTry ? 1 : 0;
            urgent |= firstTry;
            return QuotaDecision.WAIT;
        }
        return QuotaDecision.DENY;
    }

    /** Switches to a fallback if the assignment or the previous fallback has expired, and refills the tokens. */
    private void refresh(double nowMs) {
        if (assigned && !expired && nowMs >= expiresAtMs) {
            ExpiredAssignmentBehavior behavior = settings.getExpiredAssignmentBehavior();
            expired = true;
            applyStrategy(behavior.getFallbackRateLimit(), expiresAtMs, Double.MAX_VALUE);
            expiresAtMs += ProtoDurations.toMillis(behavior.getExpiredAssignmentBehaviorTimeout());
        }
        if (assigned && expired && nowMs >= expiresAtMs) {
            assigned = false;
            expiresAtMs = Double.POSITIVE_INFINITY;
            applyStrategy(settings.getNoAssignmentBehavior().getFallbackRateLimit(), nowMs, Double.MAX_VALUE);
        }
        tokens = Math.min(maxTokens, tokens + Math.max(0, nowMs - refilledAtMs) * tokensPerMs);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
    }

    private boolean hasLiveAssignment() {
        return assigned && !expired;
    }

    /** Applies a new assignment. Requests allowed since the last report are charged to it. */
    void assign(QuotaAssignmentAction action, double nowMs) {
        assigned = true;
        expired = false;
        expiresAtMs = nowMs + ProtoDurations.toMillis(action.getAssignmentTimeToLive());
        applyStrategy(action.getRateLimitStrategy(), nowMs, (double) allowedSinceReport);
    }

    private void applyStrategy(RateLimitStrategy strategy, double nowMs, double spentTokens) {
        denyAll = strategy.hasBlanketRule() && strategy.getBlanketRule() == RateLimitStrategy.BlanketRule.DENY_ALL;
        allowAll = strategy.hasBlanketRule() && !denyAll;
        refilledAtMs = nowMs;
        if (strategy.hasTokenBucket()) {
            TokenBucket bucket = strategy.getTokenBucket();
            double fillIntervalMs = Math.max(1, ProtoDurations.toMillis(bucket.getFillInterval()));
            maxTokens = bucket.getMaxTokens();
            tokensPerMs = Math.max(1, bucket.getTokensPerFill().getValue()) / fillIntervalMs;
        } else if (strategy.hasRequestsPerTimeUnit()) {
            maxTokens = strategy.getRequestsPerTimeUnit().getRequestsPerTimeUnit();
            tokensPerMs = maxTokens / unitMs(strategy.getRequestsPerTimeUnit().getTimeUnit());
        } else {
            maxTokens = 0;
            tokensPerMs = 0;
        }
        tokens = Math.max(0, maxTokens - spentTokens);
    }

    private static double unitMs(RateLimitUnit unit) {
        return switch (unit) {
            case MINUTE -> MINUTE_MS;
            case HOUR -> HOUR_MS;
            case DAY -> DAY_MS;
            default -> SECOND_MS;
        };
    }

    /** Whether there is usage that has not been reported yet. */
    boolean hasUnreportedUsage() {
        return allowedSinceReport != 0 || deniedSinceReport != 0;
    }

    /** Whether to send a report before the next interval because the bucket needs an assignment. */
    boolean isUrgentReportDue(double nowMs) {
        return urgent && (!reported || nowMs - reportedAtMs >= MIN_URGENT_REPORT_GAP_MS);
    }

    /** Whether to send a report: the first one, a periodic one, or an urgent one. */
    boolean isReportDue(double nowMs) {
        double intervalMs = ProtoDurations.toMillis(settings.getReportingInterval());
        return !reported || nowMs - reportedAtMs >= intervalMs || isUrgentReportDue(nowMs);
    }

    /** Returns the usage since the last report and resets the counts. */
    BucketQuotaUsage drainUsage(BucketId bucketId, double nowMs) {
        BucketQuotaUsage usage = BucketQuotaUsage.newBuilder()
                .setBucketId(bucketId)
                .setTimeElapsed(ProtoDurations.fromMillis(nowMs - reportedAtMs))
                .setNumRequestsAllowed(allowedSinceReport)
                .setNumRequestsDenied(deniedSinceReport)
                .build();
        allowedSinceReport = 0;
        deniedSinceReport = 0;
        reportedAtMs = nowMs;
        reported = true;
        urgent = false;
        return usage;
    }

    /** Adds back usage whose report was not sent. */
    void restoreUsage(BucketQuotaUsage unsent) {
        allowedSinceReport += unsent.getNumRequestsAllowed();
        deniedSinceReport += unsent.getNumRequestsDenied();
    }
}
