package stonelb.decision;

import java.util.Map;
import java.util.SplittableRandom;

/**
 * The parts that the leases of all customers share.
 *
 * @param customersByName the customers by their current counter names
 */
record LeaseContext(
        DecisionSettings settings,
        SlotAllocator slots,
        CounterHealth counter,
        SplittableRandom random,
        DecisionActions actions,
        Map<Long, Long> customersByName) {

    /** Creates the lease of a new customer for its first request. */
    QuotaLease open(double now, AdmissionRequest first) {
        int gateways = Math.max(1, settings.gateways());
        int spread = Math.max(1, Math.min(gateways, first.spread()));
        Plan plan = settings.plans().get(first.plan());
        QuotaTerms terms = new QuotaTerms(settings, slots, plan, spread);
        CounterAccount account = new CounterAccount(this, first.customer(), QuotaTerms.COUNTER_TTL_MS);
        double units = plan.chargedUnits(first);
        return new QuotaLease(
                random,
                terms,
                counter,
                account,
                new SharedQuota(terms, counter, account, new QuotaEstimate()),
                new CeilingBudget(terms, counter, new TokenBucket(terms.initialCeilingUnits())),
                new InFlightCap(terms, counter, account, new PeakReport()),
                new LeaseBalance(now, units),
                new TokenBucket(Math.max(terms.burstShare(), units)));
    }
}
