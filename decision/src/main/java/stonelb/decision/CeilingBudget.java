package stonelb.decision;

/** The units that this gateway may forward without a lease under a customer's hard ceiling. */
record CeilingBudget(QuotaTerms terms, CounterHealth counter, TokenBucket bucket) {

    boolean allows(double units) {
        return terms.plan().ceilingRate() <= 0 || bucket.tokens() >= units + QuotaTerms.UNIT_TOLERANCE;
    }

    /** The time until the bucket holds this many units, 0 if it already does. */
    double retryAfterMs(double units) {
        double missing = Math.max(0, units - bucket.tokens());
        return missing * terms.spread() / terms.plan().ceilingRate() * QuotaTerms.MS_PER_SECOND;
    }

    void refill(double now, double elapsedMs) {
        double capacity = terms.ceilingBurstShare() - terms.initialCeilingUnits();
        double rate = terms.plan().ceilingRate();
        if (terms.leasesUnderCeiling() && counter.isUnresponsive()) { // without leases, the full rate applies
            capacity = Math.max(capacity, terms.settings().maxUnits() + QuotaTerms.UNIT_TOLERANCE);
            double unresponsiveMs = now - counter.state().unresponsiveSinceMs();
            rate *= Math.min(1, unresponsiveMs / Math.max(QuotaTerms.UNIT_TOLERANCE, elapsedMs));
        } else if (terms.leasesUnderCeiling()) {
            rate -= terms.plan().rate();
            bucket.limitTo(terms.ceilingBurstShare());
        }
        bucket.refill(rate / terms.spread(), elapsedMs, Math.max(bucket.tokens(), capacity));
    }
}
