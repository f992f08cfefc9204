package stonelb.decision;

/**
 * A customer's plan: rate and burst in units, cap on attempts in flight, and hard ceiling without its slack
 * (each 0 if there is none), and what a unit earns or costs within and beyond the quota.
 */
public record Plan(
        double rate,
        double burst,
        int maxInFlight,
        double ceilingRate,
        double ceilingBurst,
        double price,
        double overQuotaValue,
        double overQuotaCost) {

    /** Whether the plan has a rate and not only a cap on attempts in flight. */
    boolean hasRate() {
        return rate > 0;
    }

    /** The units that a request takes from the quota; without a rate, each request counts as one. */
    double chargedUnits(AdmissionRequest request) {
        return hasRate() ? request.units() : 1;
    }

    /** Whether a unit beyond the quota earns more than it costs. */
    boolean admitsOverQuota() {
        return overQuotaValue > overQuotaCost;
    }
}
