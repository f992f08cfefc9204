package stonelb.decision;

/**
 * Allocates the slots of this gateway, one per attempt in flight. Their limit rises while they are used
 * without congestion and falls with it. Each period, the optimiser splits them among the priority tiers.
 */
record SlotAllocator(
        int gateways,
        PriorityTiers tiers,
        SlotLimit limit,
        SlotCounts counts,
        TierDemand demand,
        ResponseCounts recent,
        MovingAverage latencyMs) {
    static final int MAX_TIERS = 3;
    static final double MIN_LATENCY_WEIGHT = 0.02;
    static final double ARRIVAL_RATE_WEIGHT = 0.5;
    static final double VALUE_WEIGHT = 0.3;
    private static final int MAX_SPLIT_STEPS = 40;
    private static final double MIN_SPLIT_GAIN = 1e-9; // relative; smaller ones are rounding errors
    private static final double MIN_SLOTS_PER_ENDPOINT = 3; // mean number in use
    private static final double ADJUST_INTERVAL_MS = 250;
    private static final int ADJUST_MIN_RESPONSES = 4;
    private static final double TOLERATED_CONGESTION = 0.15; // fraction of the responses
    private static final double DECREASE_FACTOR = 0.7;
    private static final double INCREASE_FACTOR = 1.15;
    private static final double MIN_USE_FOR_INCREASE = 0.7;

    /** Sets the initial limit once endpoints are known; later calls change nothing. */
    void setInitialLimit(int readyEndpoints) {
        limit.set(limit.slots() == 0 ? minLimit(readyEndpoints) : limit.slots());
    }

    /** The mean plus two standard deviations: the mean alone would reject requests with endpoints idle. */
    private double minLimit(int readyEndpoints) {
        double mean = MIN_SLOTS_PER_ENDPOINT * readyEndpoints / gateways;
        return Math.ceil(mean + 2 * Math.sqrt(mean));
    }

    /** An attempt uses its tier's reserve first, then the shared slots. */
    boolean hasFree(int tier) {
        boolean inReserve = counts.freeReserved(tier) > 0 && counts.totalInFlight() < limit.wholeSlots();
        return inReserve || counts.freeShared(limit.wholeSlots()) > 0;
    }

    void responded(double responseMs, boolean congested) {
        latencyMs.add(responseMs);
        recent.responded(congested);
    }

    /** Adjusts the limit to the ready endpoints and to the congestion since the last adjustment. */
    void adjust(double now, int readyEndpoints, double reachableCapacity) {
        limit.scaleTo(reachableCapacity); // the slots of lost endpoints would overload the others
        recent.sampleInFlight(counts.totalInFlight());
        if (recent.ageMs(now) >= ADJUST_INTERVAL_MS && recent.responses() >= ADJUST_MIN_RESPONSES) {
            double tolerated = TOLERATED_CONGESTION * recent.responses();
            if (recent.congested() > tolerated + Math.sqrt(tolerated)) { // root: margin for random variation
                limit.set(Math.min(limit.slots(), recent.peakInFlight() + 1) * DECREASE_FACTOR);
            } else if (recent.peakInFlight() > MIN_USE_FOR_INCREASE * limit.slots()) {
                limit.set(limit.slots() * INCREASE_FACTOR + Math.min(1, 1.0 * readyEndpoints / gateways));
            }
            recent.reset(now);
        }
        // If all endpoints are slow for another reason, fewer attempts would only leave them idle.
        limit.set(Math.max(limit.slots(), Math.max(1, minLimit(readyEndpoints))));
    }

    /** Splits the slots for the demand measured in the period that ends now. */
    void split(double periodMs) {
        demand.endPeriod(periodMs);
        int slots = (int) limit.slots();
        if (latencyMs.value() > 0 && slots > 0) {
            double[] rates = demand.arrivalRates();
            double[] values = demand.meanValues(); // also the penalties of rejections
            SplitOptimizer splits = new SplitOptimizer(slots, rates, 1 / latencyMs.value(), values, values);
            counts.setReserves(splits.bestReserves(1 + slots / MAX_SPLIT_STEPS, MIN_SPLIT_GAIN));
        }
    }
}
