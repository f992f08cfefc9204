package stonelb.decision;

/**
 * Times out attempts that take several times the expected time: their endpoint is silent or slow, or they
 * block a slot. If all endpoints are slow, hedging doubles the load until the expected time catches up.
 */
record AttemptTimeouts(
        DecisionSettings settings,
        EndpointHealth health,
        LatencyRules latency,
        SlotAllocator slots,
        EndpointSelector selector,
        RequestDispatcher dispatcher,
        DecisionActions actions) {
    private static final double MIN_TIMEOUT_MS = 200;
    private static final double TIMEOUT_FACTOR = 7; // multiple of the expected time
    private static final double RESPONDING_FACTOR = 3; // on top, if the endpoint responds to others

    /** On a time-out, ejects the endpoint, frees the slot, and hedges or finishes the request. */
    void check(double now, OpenRequest request) {
        Attempt attempt = request.lastAttempt();
        if (attempt == null || attempt.hasEnded() || now - attempt.sentAtMs() < timeoutMs(request, attempt)) {
            return;
        }
        AttemptLimits limits = settings.attemptLimits();
        boolean inTime = latency.isInTime(now, request);
        TrackedEndpoint alternative = inTime && limits.hedging() ? selector.select(now, request) : null;
        if (!attempt.hasTimedOut()) {
            attempt.markTimedOut();
            slots.counts().release(request.tier());
            health.eject(now, attempt.endpoint(), request.classIndex());
        }
        boolean hasAlternative = alternative != null && alternative != attempt.endpoint();
        if (hasAlternative && !health.isEjected(now, alternative, request.classIndex())) {
            dispatcher.send(now, request, alternative);
            return;
        }
        if (!limits.hedging() && limits.cancellation() && request.idempotency() == Idempotency.IDEMPOTENT) {
            actions.cancel(request.id(), request.attempts().size() - 1);
        }
        if (!inTime) {
            dispatcher.finish(request); // instead of waiting for its deadline
        }
    }

    private double timeoutMs(OpenRequest request, Attempt attempt) {
        boolean responding = attempt.endpoint().respondedAtMs(request.classIndex()) > attempt.sentAtMs();
        double timeoutMs =
                Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * latency.times().expectedMs(request));
        return (responding ? RESPONDING_FACTOR : 1) * timeoutMs;
    }
}
