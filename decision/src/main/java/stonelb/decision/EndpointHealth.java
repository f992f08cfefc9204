package stonelb.decision;

/** Slow start of endpoints that are warming up, and ejection of those that fail. */
record EndpointHealth(DecisionSettings settings, EndpointTable endpoints) {
    static final double SEND_RATE_WINDOW_MS = 2000;
    static final double MAX_SEND_INTERVAL_MS = 30_000;
    static final double MAX_LATENCY_SAMPLES = 50;
    static final double MIN_LATENCY_WEIGHT = 0.1;
    static final double REJECTION_PAUSE_MS = 100;
    static final double LATENCY_DECAY = 0.998; // of the number of samples, per tick
    private static final double MIN_WARM_SENDS_PER_MS = 1e-3; // by all gateways together
    private static final double MIN_EJECTION_MS = 250;
    private static final double MAX_EJECTION_MS = 4000;
    private static final double MAX_EJECTION_FACTOR = 4; // of the minimum backoff, if that is long

    /** Whether its budget allows an attempt. Unused budget expires: many gateways would spend it at once. */
    boolean admitsAttempt(double now, TrackedEndpoint endpoint) {
        if (endpoint.isWarm(now)) {
            return true;
        }
        double minPerMs = MIN_WARM_SENDS_PER_MS / Math.max(1, settings.gateways());
        double attemptsPerMs = Math.max(endpoints.warmSendsPerMs(), minPerMs) * endpoint.capacity(now);
        double maxSaved = Math.min(1, attemptsPerMs * settings.slowStart().overloadMs());
        return endpoint.refillBudget(now, attemptsPerMs, maxSaved) >= 1;
    }

    void markUnreachable(double now, TrackedEndpoint endpoint, int classIndex) {
        eject(now, endpoint, classIndex);
        endpoint.ejectUntil(endpoint.ejectedUntilMs(classIndex));
        endpoint.unreachableUntil(endpoint.ejectedUntilMs(classIndex));
    }

    /**
     * Ejects an endpoint for a class with exponential backoff. The backoff spans several send intervals: with
     * a low request rate, a shorter one would send most requests to the failing endpoint.
     */
    void eject(double now, TrackedEndpoint endpoint, int classIndex) {
        endpoint.countFailure(classIndex);
        double minBackoffMs = Math.max(MIN_EJECTION_MS, endpoints.sendIntervalMs());
        double maxBackoffMs = Math.max(MAX_EJECTION_MS, MAX_EJECTION_FACTOR * minBackoffMs);
        double backoffMs = minBackoffMs * Math.pow(2, endpoint.failures(classIndex));
        endpoint.ejectUntil(classIndex, now + Math.min(maxBackoffMs, backoffMs));
    }

    /** Whether an endpoint is ejected for a class, or is being probed by an attempt in flight. */
    boolean isEjected(double now, TrackedEndpoint endpoint, int classIndex) {
        boolean probing = endpoint.failures(classIndex) > 0 && endpoint.inFlight() > 0;
        return now < endpoint.ejectedUntilMs(classIndex) || probing;
    }
}
