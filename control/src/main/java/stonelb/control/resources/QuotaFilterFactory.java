package stonelb.control.resources;

import com.github.xds.core.v3.TypedExtensionConfig;
import com.github.xds.type.matcher.v3.Matcher;
import com.google.protobuf.Any;
import com.google.protobuf.Duration;
import com.google.protobuf.UInt32Value;
import com.google.protobuf.util.Durations;
import io.envoyproxy.envoy.config.core.v3.GrpcService;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings.BucketIdBuilder;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings.DenyResponseSettings;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings.ExpiredAssignmentBehavior;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings.NoAssignmentBehavior;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaFilterConfig;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaOverride;
import io.envoyproxy.envoy.type.matcher.v3.HttpRequestHeaderMatchInput;
import io.envoyproxy.envoy.type.v3.HttpStatus;
import io.envoyproxy.envoy.type.v3.RateLimitStrategy;
import io.envoyproxy.envoy.type.v3.StatusCode;
import io.envoyproxy.envoy.type.v3.TokenBucket;
import java.util.List;
import stonelb.control.quota.BucketKey;
import stonelb.decision.DecisionSettings;
import stonelb.decision.Plan;

/**
 * Creates the configuration of the quota filter (rate_limit_quota.v3): a bucket for each customer, and for each plan
 * the fallback rate of a proxy without an assignment.
 */
final class QuotaFilterFactory {
    private static final String CONTROL_CLUSTER = "stonelb-control";
    private static final String PLAN_EXTENSION = "plan";
    private static final double DEFAULT_COST = 1;
    private static final long MIN_REPORT_INTERVAL_MS = 100;
    private static final double MS_PER_SECOND = 1000;
    private static final double MAX_FILL_INTERVAL_MS = 3_600_000;

    /** A plan's rate divided by this is what all proxies together may send without assignments. */
    private static final double FALLBACK_DIVISOR = 2;

    /** Requests per second without an assignment, for a plan without a rate. */
    private static final double UNLIMITED_FALLBACK_PER_SECOND = 1;

    private final DecisionSettings settings;
    private final List<String> plans;
    private final ResourceOptions options;

    /**
     * Creates the factory.
     *
     * @param plans names of plans, in the order of the settings
     */
    QuotaFilterFactory(DecisionSettings settings, List<String> plans, ResourceOptions options) {
        this.settings = settings;
        this.plans = plans;
        this.options = options;
    }

    /** The filter for one node. The node name is sent as metadata, as the protocol has no field for the reporter. */
    RateLimitQuotaFilterConfig filter(String node) {
        return RateLimitQuotaFilterConfig.newBuilder()
                .setDomain(ResourceFactory.DOMAIN)
                .setRlqsServer(GrpcService.newBuilder()
                        .setEnvoyGrpc(GrpcService.EnvoyGrpc.newBuilder().setClusterName(CONTROL_CLUSTER))
                        .addInitialMetadata(HeaderValue.newBuilder()
                                .setKey(ResourceFactory.NODE_HEADER)
                                .setValue(node)))
                .setBucketMatchers(bucketMatchers(DEFAULT_COST))
                .build();
    }

    /** Whether a route whose requests cost this many units needs an {@link #override} of the filter. */
    static boolean needsOverride(double cost) {
        return cost != DEFAULT_COST;
    }

    /** The filter's configuration for a route whose requests cost {@code cost} units each. */
    RateLimitQuotaOverride override(double cost) {
        return RateLimitQuotaOverride.newBuilder()
                .setDomain(ResourceFactory.DOMAIN)
                .setBucketMatchers(bucketMatchers(cost))
                .build();
    }

    private Matcher bucketMatchers(double cost) {
        Matcher.MatcherTree.MatchMap.Builder byPlan = Matcher.MatcherTree.MatchMap.newBuilder();
        for (int plan = 0; plan < plans.size(); plan++) {
            TypedExtensionConfig action = extension(PLAN_EXTENSION, Any.pack(bucketSettings(plan, cost)));
            byPlan.putMap(
                    plans.get(plan),
                    Matcher.OnMatch.newBuilder().setAction(action).build());
        }
        return Matcher.newBuilder()
                .setMatcherTree(Matcher.MatcherTree.newBuilder()
                        .setInput(extension(PLAN_EXTENSION, Any.pack(headerInput(ResourceFactory.PLAN_HEADER))))
                        .setExactMatchMap(byPlan))
                .build();
    }

    private static TypedExtensionConfig extension(String name, Any config) {
        return TypedExtensionConfig.newBuilder()
                .setName(name)
                .setTypedConfig(config)
                .build();
    }

    private static HttpRequestHeaderMatchInput headerInput(String name) {
        return HttpRequestHeaderMatchInput.newBuilder().setHeaderName(name).build();
    }

    private RateLimitQuotaBucketSettings bucketSettings(int plan, double cost) {
        RateLimitStrategy fallback = fallbackStrategy(settings.plans().get(plan), cost);
        return RateLimitQuotaBucketSettings.newBuilder()
                .setBucketIdBuilder(bucketId(plan, cost))
                .setReportingInterval(Durations.fromMillis(Math.max(MIN_REPORT_INTERVAL_MS, (long) options.reportMs())))
                .setDenyResponseSettings(DenyResponseSettings.newBuilder()
                        .setHttpStatus(HttpStatus.newBuilder().setCode(StatusCode.TooManyRequests)))
                .setNoAssignmentBehavior(NoAssignmentBehavior.newBuilder().setFallbackRateLimit(fallback))
                .setExpiredAssignmentBehavior(ExpiredAssignmentBehavior.newBuilder()
                        .setFallbackRateLimit(fallback)
                        .setExpiredAssignmentBehaviorTimeout(Durations.fromMillis((long) options.fallbackMs())))
                .build();
    }

    private BucketIdBuilder bucketId(int plan, double cost) {
        BucketIdBuilder.Builder id = BucketIdBuilder.newBuilder()
                .putBucketIdBuilder(BucketKey.CUSTOMER, headerValue(ResourceFactory.CUSTOMER_HEADER))
                .putBucketIdBuilder(BucketKey.PLAN, constantValue(plans.get(plan)))
                .putBucketIdBuilder(BucketKey.SPREAD, headerValue(ResourceFactory.SPREAD_HEADER));
        if (cost != DEFAULT_COST) {
            boolean isInteger = cost == Math.rint(cost);
            id.putBucketIdBuilder(
                    BucketKey.COST, constantValue(isInteger ? Long.toString((long) cost) : Double.toString(cost)));
        }
        return id.build();
    }

    private static BucketIdBuilder.ValueBuilder constantValue(String value) {
        return BucketIdBuilder.ValueBuilder.newBuilder().setStringValue(value).build();
    }

    private static BucketIdBuilder.ValueBuilder headerValue(String name) {
        return BucketIdBuilder.ValueBuilder.newBuilder()
                .setCustomValue(io.envoyproxy.envoy.config.core.v3.TypedExtensionConfig.newBuilder()
                        .setName(name)
                        .setTypedConfig(Any.pack(headerInput(name))))
                .build();
    }

    /**
     * The rate at which a proxy may send requests of a customer without an assignment: a burst of one request, and half
     * of the plan's rate divided by the number of gateways. All proxies together thus stay under half of the rate; with
     * what gateways may send at the same time, the total stays under 1.5 times the rate.
     */
    RateLimitStrategy fallbackStrategy(Plan plan, double cost) {
        double requestsPerSecond = plan.rate() > 0
                ? plan.rate() / cost / FALLBACK_DIVISOR / Math.max(1, settings.gateways())
                : UNLIMITED_FALLBACK_PER_SECOND;
        return RateLimitStrategy.newBuilder()
                .setTokenBucket(TokenBucket.newBuilder()
                        .setMaxTokens(1)
                        .setTokensPerFill(UInt32Value.of(1))
                        .setFillInterval(fillInterval(requestsPerSecond)))
                .build();
    }

    private static Duration fillInterval(double requestsPerSecond) {
        double intervalMs = Math.ceil(MS_PER_SECOND / requestsPerSecond);
        return Durations.fromMillis((long) Math.max(1, Math.min(MAX_FILL_INTERVAL_MS, intervalMs)));
    }
}
