package stonelb.decision;

/** The units that this gateway may forward under a customer's hard ceiling without a lease. */
record CeilingBudget(QuotaTerms terms, CounterHealth counter, TokenBucket bucket) {

    boolean allows(double units) {
        return terms.plan().ceilingRate() <= 0 || bucket.tokens() >= units + QuotaTerms.UNIT_TOLERANCE;
    }

    /** The time until it holds so many units, 0 where it does. */
    double retryAfterMs(double units) {
        double missing = Math.max(0, units - bucket.tokens());
        return missing * terms.spread() / terms.plan().ceilingRate() * QuotaTerms.MS_PER_SECOND;
    }

    void refill(double now, double elapsedMs) {
        double capacity = terms.ceilingPart() - terms.initialCeilingUnits();
        double rate = terms.plan().ceilingRate();
        if (terms.leasesUnderCeiling() && counter.isSilent()) { // no leases, so all of the gain is available
            capacity = Math.max(capacity, terms.settings().largestUnits() + QuotaTerms.UNIT_TOLERANCE);
            double silentMs = now - counter.state().silentSinceMs();
            rate *= Math.min(1, silentMs / Math.max(QuotaTerms.UNIT_TOLERANCE, elapsedMs));
        } else if (terms.leasesUnderCeiling()) {
            rate -= terms.plan().rate();
            bucket.limitTo(terms.ceilingPart());
        }
        bucket.refill(rate / terms.spread(), elapsedMs, Math.max(bucket.tokens(), capacity));
    }
}
