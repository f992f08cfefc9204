package stonelb.decision;

/**
 * The quota that a plan grants a customer, and the share of one of the gateways that the customer uses.
 *
 * @param spread the number of gateways that the customer uses
 */
record QuotaTerms(DecisionSettings settings, SlotAllocator slots, Plan plan, int spread) {
    static final double UNIT_TOLERANCE = 1e-3; // sums of units have rounding errors
    static final double MS_PER_SECOND = 1000;
    static final double COUNTER_TTL_MS = 60_000; // of a counter name, longer than any window
    private static final double WINDOW_FILL_TIMES = 10; // a window lasts this many times burst / rate,
    private static final double MIN_WINDOW_MS = 20_000; // within these bounds
    private static final double MAX_WINDOW_MS = 50_000;
    private static final double CAP_WINDOW_MS = 2000; // short, as the rate of an in-flight cap is estimated
    private static final double MIN_FRESH_MS = 500;
    private static final double MAX_FRESH_MS = 5000;
    private static final double UNDIVIDED_BURSTS = 1.5; // the quota's burst, and blocks leased but not used

    double burst() {
        return plan.hasRate() ? plan.burst() : plan.maxInFlight();
    }

    double burstShare() {
        return burst() / spread;
    }

    /** Units per second; for a cap on attempts in flight, the rate that keeps slightly fewer in flight. */
    double rate() {
        double inFlight = plan.maxInFlight() / (1 + 2 / Math.sqrt(Math.max(1, plan.maxInFlight())));
        double latencyMs =
                Math.max(settings.timerResolutionMs(), slots.latencyMs().value());
        return plan.hasRate() ? plan.rate() : MS_PER_SECOND * inFlight / latencyMs;
    }

    /** Whether the quota rejects nothing, so that no calls to the counter are needed. */
    boolean admitsAll() {
        return burst() <= 0 || plan.admitsOverQuota();
    }

    /** Whether the gateways report their attempts in flight, as the cap allows each of them at least one. */
    boolean reportsInFlight() {
        return !plan.hasRate() && plan.maxInFlight() >= spread;
    }

    /** Whether units of a lease are within the hard ceiling as well, so that it isn't checked for them. */
    boolean leasesUnderCeiling() {
        return settings.counter().present()
                && plan.hasRate()
                && !plan.admitsOverQuota()
                && plan.ceilingRate() > plan.rate()
                && plan.ceilingBurst() > plan.burst();
    }

    /**
     * This gateway's share of the ceiling's burst. Leases keep to the quota at any gateway, so only the units
     * above the quota are divided; otherwise busy gateways would reject requests within the quota.
     */
    double ceilingBurstShare() {
        double undivided = leasesUnderCeiling() ? UNDIVIDED_BURSTS * plan.burst() : 0;
        return Math.max(0, plan.ceilingBurst() - undivided) / spread;
    }

    /** Granted only at start, out of the share: a restarted gateway doesn't know what it just admitted. */
    double initialCeilingUnits() {
        double share = ceilingBurstShare();
        return Math.min(share / 2, Math.max(share / 4, settings.maxUnits()));
    }

    /** The time in which an empty quota refills to its burst. */
    double fillMs() {
        return MS_PER_SECOND * burst() / Math.max(UNIT_TOLERANCE, rate());
    }

    /** How long a total of the counter counts as up to date. */
    double freshMs() {
        return Math.min(MAX_FRESH_MS, Math.max(MIN_FRESH_MS, fillMs()));
    }

    /** How long each of the customer's counter names is used. */
    double windowMs() {
        return plan.hasRate() || reportsInFlight()
                ? Math.min(MAX_WINDOW_MS, Math.max(MIN_WINDOW_MS, WINDOW_FILL_TIMES * fillMs()))
                : CAP_WINDOW_MS;
    }
}
