package stonelb.control.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonelb.core.TimerQueue;
import stonelb.decision.AdmissionRequest;
import stonelb.decision.AttemptResult;
import stonelb.decision.DecisionActions;
import stonelb.decision.DecisionEngine;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DefaultDecisionEngine;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;

/**
 * Runs the decision engine of one proxy, which treats the proxy like a gateway. Submits simulated requests to it, adds
 * one request of credit to the lease of each that it forwards, and ends the attempt with the latency and the errors
 * that the proxy reports of the chosen endpoint. Admission, division of quota and choice of endpoints are left to the
 * engine.
 */
final class RequestSimulator implements DecisionActions {
    /**
     * Latency that is assumed before the first load report, as a fraction of the class's latency objective. It is short
     * because long attempts would occupy the few slots that the engine starts with.
     */
    private static final double ASSUMED_LATENCY = 0.02;

    private static final double MIN_LATENCY_MS = 1;

    private final DecisionSettings settings;
    private final List<Double> deadlinesMs;
    private final TimerQueue timers;
    private final CounterMultiplexer counter;
    private final ThrottledCustomers throttledCustomers;
    private final EndpointWeights endpointWeights;
    private final PendingAssignments assignments;
    private final RequestClassMix classMix;
    private final DecisionEngine engine;
    private final Map<Long, SimulatedRequest> requests = new HashMap<>();
    private long lastRequestId;
    private boolean rejected;
    private boolean closed;

    /**
     * Creates the engine of a proxy.
     *
     * @param deadlinesMs by request class, the time limit of its requests
     * @param seed of the engine's random numbers
     */
    RequestSimulator(
            DecisionSettings settings,
            List<Double> deadlinesMs,
            long seed,
            TimerQueue timers,
            CounterMultiplexer counter,
            ThrottledCustomers throttledCustomers,
            EndpointWeights endpointWeights,
            PendingAssignments assignments) {
        this.settings = settings;
        this.deadlinesMs = deadlinesMs;
        this.timers = timers;
        this.counter = counter;
        this.throttledCustomers = throttledCustomers;
        this.endpointWeights = endpointWeights;
        this.assignments = assignments;
        classMix = new RequestClassMix(settings.classes().size());
        engine = new DefaultDecisionEngine(timers.now(), settings, seed, this);
    }

    void endpointsChanged(EndpointListType type, List<Endpoint> endpoints) {
        engine.endpointsChanged(timers.now(), type, endpoints);
    }

    void classObserved(int requestClass, long issued) {
        classMix.observe(requestClass, issued);
    }

    int[] slotLimits() {
        return engine.slotLimits();
    }

    int tierOf(int requestClass, int plan) {
        return engine.tierOf(requestClass, plan);
    }

    /** Submits up to {@code count} requests of a lease's bucket. Stops at the first rejection, as more would follow. */
    void simulate(double now, QuotaLease lease, long count) {
        rejected = false;
        for (long i = 0; i < count && !rejected && !closed; i++) {
            submit(now, lease);
        }
    }

    private void submit(double now, QuotaLease lease) {
        int requestClass = classMix.classOf(lastRequestId);
        long id = ++lastRequestId;
        requests.put(id, new SimulatedRequest(lease, requestClass));
        lease.submit();
        double deadline = now + deadlinesMs.get(requestClass);
        BucketKey key = lease.key();
        engine.requestReceived(
                now,
                new AdmissionRequest(
                        id, requestClass, key.plan(), key.customer(), deadline, key.cost(), key.spread(), false));
    }

    /** Stops submitting requests; the results of attempts in flight are not passed to the engine. */
    void close() {
        closed = true;
    }

    @Override
    public void forward(long id, long endpoint, double timeoutMs) {
        SimulatedRequest request = requests.get(id);
        if (request == null || request.isForwarded()) {
            return; // a retry or a hedged request: its credit was granted with the first attempt
        }
        request.forwarded(endpoint, timers.now());
        request.lease().grant();
        assignments.leaseChanged(request.lease());
        double objectiveMs = settings.classes().get(request.requestClass()).latencyObjectiveMs();
        double latencyMs = endpointWeights.endpointChosen(endpoint, ASSUMED_LATENCY * objectiveMs);
        timers.scheduleAfter(Math.max(MIN_LATENCY_MS, latencyMs), this::attemptTimerFired, id);
        assignments.flushLater();
    }

    private void attemptTimerFired(double now, long id) {
        if (closed) {
            return;
        }
        SimulatedRequest request = requests.remove(id);
        if (request == null || !request.isForwarded()) {
            return;
        }
        long endpoint = request.endpoint();
        double latencyMs = now - request.forwardedAt();
        engine.attemptEnded(
                now, new AttemptResult(id, 0, endpoint, endpointWeights.nextOutcome(endpoint), latencyMs, true, 0));
    }

    @Override
    public void reject(long id, double retryAfterMs) {
        SimulatedRequest request = requests.remove(id);
        if (request != null && !request.isForwarded()) {
            QuotaLease lease = request.lease();
            lease.reject();
            throttledCustomers.rejected(lease.key().customer(), timers.now());
            rejected = true;
            assignments.leaseChanged(lease);
            assignments.flushLater();
        }
    }

    @Override
    public void fail(long id) {
        reject(id, 0);
    }

    /** Does nothing: a simulated attempt occupies no connection that could be cancelled. */
    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void schedule(double afterMs, long token) {
        timers.scheduleAfter(afterMs, this::engineTimerFired, token);
    }

    private void engineTimerFired(double now, long token) {
        if (!closed) {
            engine.timerFired(now, token);
        }
    }

    @Override
    public void addToCounter(long name, double amount, double retentionMs) {
        counter.add(engine, name, amount, retentionMs);
    }

    /** Does nothing: the control service watches the endpoint list permanently. */
    @Override
    public void watchEndpoints() {}
}
