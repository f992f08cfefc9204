package stonelb.decision;

/** Updates endpoint health, service times and the slot limit by the result of an attempt. */
record AttemptFeedback(EndpointHealth health, LatencyRules latency, SlotAllocator slots) {
    private static final double MAX_LATENCY_RATIO = 20;

    void attemptEnded(double now, OpenRequest request, Attempt attempt, AttemptResult result) {
        TrackedEndpoint endpoint = attempt.endpoint();
        int classIndex = request.classIndex();
        endpoint.attemptEnded();
        switch (result.outcome()) {
            case OK -> {
                latency.times().answered(request, result.latencyMs());
                double ratio = result.latencyMs() / Math.max(1, latency.times().expectedMs(request));
                endpoint.recordSuccess(now, classIndex, Math.min(ratio, MAX_LATENCY_RATIO));
                slots.responded(result.latencyMs(), latency.showsCongestion(request, result.latencyMs()));
            }
            case REJECTED -> {
                endpoint.ejectUntil(now + EndpointHealth.REJECTION_PAUSE_MS);
                slots.responded(0, true);
            }
            case ERROR -> {
                health.eject(now, endpoint, classIndex);
                endpoint.recordError(now);
            }
            case CONNECT_FAILED, RESET -> health.markUnreachable(now, endpoint, classIndex);
            case TIMEOUT -> {
                if (!attempt.hasTimedOut()) { // a silent endpoint says nothing about load
                    latency.times().timedOut(request, result.latencyMs());
                    slots.responded(result.latencyMs(), latency.showsCongestion(request, result.latencyMs()));
                }
            }
            case CANCELLED, NOT_SENT -> {}
        }
    }
}
