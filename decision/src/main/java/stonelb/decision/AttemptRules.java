package stonelb.decision;

/** Decides whether a request may be sent to an endpoint, and whether it may be rejected. */
record AttemptRules(DecisionSettings settings, OpenRequests requests, EndpointHealth health) {

    /** Whether an attempt of the request may be sent to the endpoint now. */
    boolean maySend(double now, OpenRequest request, TrackedEndpoint endpoint) {
        AttemptLimits limits = settings.attemptLimits();
        return endpoint.isReady()
                && request.attempts().size() < Math.max(1, limits.maxAttempts())
                && now < request.arrival().deadlineMs() - settings.timerResolutionMs()
                && requests.isOpen(request)
                && (request.inFlight() == 0 || limits.hedging())
                && health.admitsAttempt(now, endpoint)
                && (!request.mayHaveExecuted() || mayRetryAt(now, request, endpoint));
    }

    /** Whether a retry at the endpoint cannot make the request take effect twice. */
    private boolean mayRetryAt(double now, OpenRequest request, TrackedEndpoint endpoint) {
        return switch (request.idempotency()) {
            case IDEMPOTENT -> true;
            case AT_MOST_ONCE -> false;
            case IDEMPOTENCY_KEY ->
                request.attempts().stream()
                        .allMatch(attempt -> isDeduplicated(now, request.requestClass(), attempt, endpoint));
        };
    }

    /** Whether the endpoint recognises the idempotency key of an attempt. */
    private boolean isDeduplicated(double now, RequestClass type, Attempt attempt, TrackedEndpoint endpoint) {
        return type.deduplicationScope().includesBoth(attempt, endpoint)
                && now < attempt.sentAtMs() + type.deduplicationWindowMs() - settings.timerResolutionMs();
    }

    /** A rejection invites the client to retry, which must not make the request take effect twice. */
    boolean mayReject(OpenRequest request) {
        return request.idempotency() == Idempotency.IDEMPOTENT
                || !request.mayHaveExecuted()
                || (request.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && request.requestClass().deduplicationScope() == DeduplicationScope.ALL);
    }
}
