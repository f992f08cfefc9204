package stonelb.decision;

import java.util.SplittableRandom;

/** Judges from service times whether requests can meet their objective and the fleet is congested. */
record LatencyRules(ServiceTimes times, SplittableRandom random) {
    static final double INITIAL_UNIT_TIME = 0.2; // fraction of the objective, per unit
    static final double TIME_DECAY = 0.95;
    static final double BASELINE_TIME_GROWTH = 1.002;
    private static final double MIN_KNOWN_UNITS = 4; // fewer are too little data to reject by
    private static final double MIN_TIME_LEFT = 1.5; // multiple of the expected time
    private static final double PROBE_PROBABILITY = 0.05;
    private static final double CONGESTED_LATENCY = 0.35; // fraction of the objective

    boolean isInTime(double now, OpenRequest request) {
        return now + times.expectedMs(request) < request.objectiveAtMs();
    }

    /**
     * Whether to shed a request that is likely to miss its objective, before it costs quota or work. Some
     * are sent as probes: without them, nothing would show that the fleet has recovered.
     */
    boolean shouldShed(double now, OpenRequest request) {
        return times.unitTime(request).answeredUnits() > MIN_KNOWN_UNITS
                && request.objectiveAtMs() - now < MIN_TIME_LEFT * times.expectedMs(request)
                && random.nextDouble() >= PROBE_PROBABILITY;
    }

    /** Whether a latency shows congestion. The time of further units is deducted: size is no congestion. */
    boolean showsCongestion(OpenRequest request, double latencyMs) {
        double furtherUnitsMs =
                Math.max(0, request.units() - 1) * times.unitTime(request).uncongestedMs();
        return latencyMs - furtherUnitsMs
                > CONGESTED_LATENCY * request.requestClass().latencyObjectiveMs();
    }
}
