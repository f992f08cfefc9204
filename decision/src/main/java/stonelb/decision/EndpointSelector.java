package stonelb.decision;

import java.util.SplittableRandom;

/** Selects the endpoint of the next attempt. */
record EndpointSelector(
        EndpointTable endpoints,
        EndpointHealth health,
        AttemptRules rules,
        ServiceTimes times,
        SplittableRandom random) {
    private static final double COST_JITTER = 0.05; // makes gateways select different endpoints
    private static final double SAME_ENDPOINT_COST = 1e3; // costs are multiples of the mean latency
    private static final double MISSED_OBJECTIVE_COST = 100;
    private static final double EJECTED_COST = 1e6;
    private static final double UNRELIABLE_FACTOR = 4; // after an error, for at-most-once requests
    private static final double UNRELIABLE_MS = 20_000;
    private static final double RECONNECT_FACTOR = 1.5;
    private static final double KEEP_ALIVE_MS = 20_000;
    private static final double PRIOR_SAMPLES = 8; // weight of the fleet's mean latency ratio, 1
    private static final double WARMING_FACTOR = 0.5;
    private static final double RARE_SEND_INTERVAL_MS = 1000; // the connection may have closed meanwhile

    /** The cheapest endpoint that the rules allow, null if they allow none. */
    TrackedEndpoint select(double now, OpenRequest request) {
        TrackedEndpoint best = null;
        double lowestCost = Double.MAX_VALUE;
        for (TrackedEndpoint endpoint : endpoints.all()) {
            double cost = rules.maySend(now, request, endpoint) ? cost(now, request, endpoint) : lowestCost;
            if (cost < lowestCost) {
                lowestCost = cost;
                best = endpoint;
            }
        }
        return best;
    }

    private double cost(double now, OpenRequest request, TrackedEndpoint endpoint) {
        double cost = loadCost(now, endpoint) * (1 + COST_JITTER * random.nextDouble());
        if (now + times.expectedMs(request) / endpoint.capacity(now) > request.objectiveAtMs()) {
            cost += MISSED_OBJECTIVE_COST;
        }
        boolean unreliable = now - endpoint.lastErrorAtMs() < UNRELIABLE_MS;
        if (unreliable && request.idempotency() == Idempotency.AT_MOST_ONCE) {
            cost *= UNRELIABLE_FACTOR;
        }
        if (health.isEjected(now, endpoint, request.classIndex())) {
            cost += EJECTED_COST;
        }
        for (Attempt attempt : request.attempts()) {
            cost += attempt.endpoint() == endpoint ? SAME_ENDPOINT_COST : 0;
        }
        return cost;
    }

    /** Load as a multiple of the mean latency. A warming endpoint is preferred, as its budget limits it. */
    private double loadCost(double now, TrackedEndpoint endpoint) {
        boolean rarelyUsed = endpoints.sendIntervalMs() > RARE_SEND_INTERVAL_MS;
        boolean likelyDisconnected = rarelyUsed && now - endpoint.connectedAtMs() > KEEP_ALIVE_MS;
        return endpoint.latencyRatio().meanWithPrior(PRIOR_SAMPLES)
                * (endpoint.inFlight() + 1)
                * endpoints.meanWeight()
                / endpoint.weight()
                * (endpoint.isWarm(now) ? 1 : WARMING_FACTOR)
                * (likelyDisconnected ? RECONNECT_FACTOR : 1);
    }
}
