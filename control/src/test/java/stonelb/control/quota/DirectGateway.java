package stonelb.control.quota;

import java.util.List;
import stonelb.core.TimerQueue;
import stonelb.decision.AdmissionRequest;
import stonelb.decision.AttemptResult;
import stonelb.decision.DecisionActions;
import stonelb.decision.DecisionEngine;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DefaultDecisionEngine;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.Outcome;

/**
 * A gateway that serves the same traffic as a proxy directly: a decision engine, and endpoints that respond in 40 ms.
 */
final class DirectGateway implements DecisionActions {
    private static final double LATENCY_MS = 40;
    private static final double DEADLINE_MS = 4000;

    private final TimerQueue timers;
    private final CounterMultiplexer counter;
    private final BucketKey key;
    private final DecisionEngine engine;
    private long lastRequestId;
    private long forwarded;

    DirectGateway(
            TimerQueue timers,
            DecisionSettings settings,
            BucketKey key,
            CounterMultiplexer counter,
            long seed,
            List<Endpoint> endpoints) {
        this.timers = timers;
        this.counter = counter;
        this.key = key;
        engine = new DefaultDecisionEngine(timers.now(), settings, seed, this);
        engine.endpointsChanged(timers.now(), EndpointListType.CACHED, endpoints);
    }

    void requestArrives() {
        double now = timers.now();
        long id = ++lastRequestId;
        engine.requestReceived(
                now,
                new AdmissionRequest(
                        id,
                        (int) (id % 2),
                        key.plan(),
                        key.customer(),
                        now + DEADLINE_MS,
                        key.cost(),
                        key.spread(),
                        false));
    }

    /** The number of forwarded requests. */
    long forwarded() {
        return forwarded;
    }

    @Override
    public void forward(long id, long endpoint, double timeoutMs) {
        forwarded++;
        AttemptResult result = new AttemptResult(id, 0, endpoint, Outcome.OK, LATENCY_MS, true, 0);
        timers.scheduleAfter(LATENCY_MS, (now, token) -> engine.attemptEnded(now, result), 0);
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void reject(long id, double retryAfterMs) {}

    @Override
    public void fail(long id) {}

    @Override
    public void schedule(double afterMs, long token) {
        timers.scheduleAfter(afterMs, (now, engineToken) -> engine.timerFired(now, engineToken), token);
    }

    @Override
    public void addToCounter(long name, double amount, double retentionMs) {
        counter.add(engine, name, amount, retentionMs);
    }

    @Override
    public void watchEndpoints() {}
}
