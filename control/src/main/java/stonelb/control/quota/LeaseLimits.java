package stonelb.control.quota;

import java.util.List;
import stonelb.decision.Plan;

/** Limits on the credit of a lease and on the requests of a usage report, by the bucket's plan and cost. */
final class LeaseLimits {
    private static final int MIN_REQUESTS_PER_REPORT = 4;

    /** Minimum burst assumed for a plan without a rate, whatever its limit of requests in flight. */
    private static final int MIN_UNLIMITED_BURST = 64;

    /** Requests per second that a lease of a plan without a rate may hold ahead of use. */
    private static final double UNLIMITED_REQUESTS_PER_SECOND = 50;

    private static final double MS_PER_SECOND = 1000;

    private final List<Plan> plans;
    private final double horizonMs;

    /**
     * Creates the limits of leases.
     *
     * @param plans the plans of the settings, in their order
     * @param horizonMs how far ahead of use a lease may cover demand
     */
    LeaseLimits(List<Plan> plans, double horizonMs) {
        this.plans = plans;
        this.horizonMs = horizonMs;
    }

    /** The most requests beyond the credit that one report may claim: the burst of the plan. */
    long maxRequestsPerReport(BucketKey key) {
        Plan plan = plans.get(key.plan());
        double burst = plan.rate() > 0 ? plan.burst() : Math.max(plan.maxInFlight(), MIN_UNLIMITED_BURST);
        return Math.max(MIN_REQUESTS_PER_REPORT, (long) Math.ceil(burst / key.cost()));
    }

    /**
     * The most requests that a lease may hold ahead of use: what the rate of the plan allows within the horizon. A
     * higher limit would let the leases that a customer far over its quota has at several proxies add up to its burst.
     */
    long maxRequestsAhead(BucketKey key) {
        Plan plan = plans.get(key.plan());
        double requestsPerSecond = plan.rate() > 0 ? plan.rate() / key.cost() : UNLIMITED_REQUESTS_PER_SECOND;
        return Math.min(maxRequestsPerReport(key), Math.round(requestsPerSecond * horizonMs / MS_PER_SECOND));
    }
}
