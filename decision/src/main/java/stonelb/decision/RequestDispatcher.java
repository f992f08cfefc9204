package stonelb.decision;

/** Sends attempts and final answers. */
record RequestDispatcher(
        DecisionSettings settings,
        OpenRequests requests,
        SlotAllocator slots,
        EndpointSelector selector,
        LatencyRules latency,
        AttemptRules rules,
        DecisionActions actions) {

    void send(double now, OpenRequest request, TrackedEndpoint endpoint) {
        request.attemptSent(new Attempt(endpoint, now));
        slots.counts().acquire(request.tier());
        request.lease().inFlightCap().peak().attemptSent();
        endpoint.attemptSent();
        actions.forward(request.id(), endpoint.id(), 0);
    }

    /** Retries a request if that can meet the objective and the rules allow it, else finishes it. */
    void retryOrFinish(double now, OpenRequest request) {
        TrackedEndpoint endpoint = latency.isInTime(now, request) ? selector.select(now, request) : null;
        if (endpoint == null) {
            finish(request);
        } else {
            send(now, request, endpoint);
        }
    }

    /** Gives the final answer without a response from an endpoint. */
    void finish(OpenRequest request) {
        if (rules.mayReject(request)) {
            rejectOverloaded(request);
        } else {
            requests.close(request.id());
            actions.fail(request.id());
        }
    }

    /** Sheds a request that lacks a slot, an endpoint or time, which may be available soon. */
    void rejectOverloaded(OpenRequest request) {
        reject(request, settings.attemptLimits().maxRetryAfterMs() / 2);
    }

    void reject(OpenRequest request, double retryAfterMs) {
        requests.close(request.id());
        actions.reject(
                request.id(), Math.min(retryAfterMs, settings.attemptLimits().maxRetryAfterMs()));
    }
}
