package stonelb.control;

import com.google.protobuf.util.Durations;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.BucketId;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse.BucketAction;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse.BucketAction.AbandonAction;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse.BucketAction.QuotaAssignmentAction;
import io.envoyproxy.envoy.type.v3.RateLimitStrategy;
import io.envoyproxy.envoy.type.v3.RateLimitStrategy.BlanketRule;
import io.envoyproxy.envoy.type.v3.TokenBucket;
import stonelb.control.quota.BucketKey;
import stonelb.control.quota.QuotaAssignment;
import stonelb.control.resources.ResourceFactory;
import stonelb.decision.DecisionSettings;

/** Converts quota assignments to the actions of {@code envoy.service.rate_limit_quota.v3}. */
final class AssignmentEncoder {
    private final DecisionSettings settings;
    private final ResourceFactory resources;

    AssignmentEncoder(DecisionSettings settings, ResourceFactory resources) {
        this.settings = settings;
        this.resources = resources;
    }

    /** The action for one assignment. */
    BucketAction toBucketAction(QuotaAssignment assignment) {
        BucketAction.Builder action = BucketAction.newBuilder()
                .setBucketId(BucketId.newBuilder().putAllBucket(assignment.key().id()));
        if (assignment.abandoned()) {
            return action.setAbandonAction(AbandonAction.getDefaultInstance()).build();
        }
        return action.setQuotaAssignmentAction(QuotaAssignmentAction.newBuilder()
                        .setAssignmentTimeToLive(Durations.fromMillis((long) assignment.timeToLiveMs()))
                        .setRateLimitStrategy(strategy(assignment)))
                .build();
    }

    /** A token bucket that initially holds the credit and refills at the fallback rate; without credit, deny all. */
    private RateLimitStrategy.Builder strategy(QuotaAssignment assignment) {
        RateLimitStrategy.Builder strategy = RateLimitStrategy.newBuilder();
        if (assignment.credit() <= 0) {
            return strategy.setBlanketRule(BlanketRule.DENY_ALL);
        }
        BucketKey key = assignment.key();
        TokenBucket fallback = resources
                .fallbackStrategy(settings.plans().get(key.plan()), key.cost())
                .getTokenBucket();
        int credit = (int) Math.min(Integer.MAX_VALUE, assignment.credit());
        return strategy.setTokenBucket(fallback.toBuilder().setMaxTokens(credit));
    }
}
