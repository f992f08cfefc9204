package stonelb.decision;

/** The quota that a customer's gateways share, as far as the last total of the counter shows. */
record SharedQuota(QuotaTerms terms, CounterHealth counter, CounterAccount account, QuotaEstimate estimate) {
    private static final double SPENT_MS = 10_000; // how long a quota is assumed to stay spent
    private static final double CEILING_REFILL_SHARES = 3;
    private static final double EXPIRY_BURSTS = 1.5;

    /**
     * The units that may be used now: those left by the last total, and this gateway's share of the refill
     * since then, as the others use theirs. Under a ceiling, which limits requests without a lease, it is
     * three shares: with one, the next block would be requested too late.
     */
    double available(double now) {
        double shares = terms.leasesUnderCeiling() ? CEILING_REFILL_SHARES : 1;
        double refilled = refilledUnits(Math.min(1, shares / terms.spread()), estimate.ageMs(now));
        return Math.max(0, Math.min(terms.burst(), estimate.units() + refilled));
    }

    private double refilledUnits(double fraction, double elapsedMs) {
        return terms.rate() * fraction * elapsedMs / QuotaTerms.MS_PER_SECOND;
    }

    boolean isFresh(double now) {
        return estimate.ageMs(now) <= terms.freshMs();
    }

    /** Whether a recent total leaves fewer units than this. */
    boolean isSpent(double now, double neededUnits) {
        return estimate.isKnown() && available(now) < neededUnits && estimate.ageMs(now) < SPENT_MS;
    }

    /** Whether a recent total showed a debt. */
    boolean wasOverdrawn(double now) {
        return estimate.overdrawnAgeMs(now) <= SPENT_MS;
    }

    /** The time until a debt is paid off, at most the rest of the window; 0 without a debt. */
    double debtRepaymentMs(double now) {
        double windowLeftMs = terms.windowMs() - windowAgeMs(now);
        double payOffMs = -estimate.units() / terms.rate() * QuotaTerms.MS_PER_SECOND;
        return estimate.units() < 0 ? Math.min(windowLeftMs, payOffMs) : 0;
    }

    private double windowAgeMs(double now) {
        return account.windowAgeMs(now, terms.windowMs());
    }

    /** Switches to the counter name of the current window. */
    void moveToWindow(double now) {
        if (account.moveToWindow(now, terms.windowMs()) && estimate.ageMs(now) >= terms.windowMs()) {
            estimate.invalidate();
        }
    }

    /** Handles the answer to an adjustment: reverts it if another gateway let the same units expire first. */
    void adjustmentAnswered(double now, Outcome outcome, double total) {
        double unused = terms.burst() + refilledUnits(1, windowAgeMs(now)) - total;
        if (account.expiring() > 0 && outcome == Outcome.OK && unused < 0) {
            account.adjust(-Math.min(account.expiring(), terms.burst() - unused));
        }
        account.expiryAnswered();
    }

    /** Updates the units left by the total that answers a query. */
    void totalReceived(double now, double total, double meanUnits) {
        double added = account.queriedAmount();
        double addedByOthers = account.addedByOthers(total);
        account.totalReceived(total);
        double units;
        if (!estimate.isKnown() || (estimate.isBefore(counter.state().resetAtMs()) && addedByOthers < 0)) {
            units = unitsLeftInWindow(now, total, meanUnits);
        } else {
            boolean countsLost = addedByOthers < -terms.burst();
            double used = countsLost ? Math.max(0, total - added) : addedByOthers;
            units = estimate.units() + (refilledUnits(1, estimate.ageMs(now)) - used);
        }
        estimate.update(now, Math.min(terms.burst(), units) - added);
    }

    /** The units left by a total alone, which counts the units used since its window began. */
    private double unitsLeftInWindow(double now, double total, double meanUnits) {
        double ageMs = Math.min(windowAgeMs(now), now - counter.state().resetAtMs());
        double units = terms.burst() + refilledUnits(1, ageMs);
        if (terms.leasesUnderCeiling()) { // the previous window may have ended with a burst
            units = Math.min(units, terms.plan().ceilingRate() * ageMs / QuotaTerms.MS_PER_SECOND);
        }
        units = units - total + account.queriedAmount();
        // A larger debt shows that the counter has kept its counts: after a reset, no gateway reserves more
        // than a request. The quota is then spent, but not in debt.
        if (ageMs < windowAgeMs(now) && units < -terms.spread() * meanUnits) {
            units = 0;
        }
        // Units left unused since the window began exceed the burst: the excess expires.
        if (terms.plan().hasRate() && units > EXPIRY_BURSTS * terms.burst()) {
            account.expire(units - terms.burst());
        }
        return units;
    }
}
