package stonelb.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Passes scripted events to one engine and records its actions as text, in order. */
final class EngineScript implements DecisionActions {
    static final Plan UNLIMITED = new Plan(0, 0, 0, 0, 0, 1, 0, 1);
    static final RequestClass IDEMPOTENT = requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);

    final List<String> actions = new ArrayList<>();
    final List<Long> timerTokens = new ArrayList<>();
    final DecisionEngine engine;
    double now = 1000;
    private long nextId = 1;
    private long lastCounterName;
    private double lastCounterAmount;
    private int unansweredCounterCalls;
    private final Map<Long, Double> counterTotals = new HashMap<>();

    EngineScript(RequestClass requestClass, Plan plan) {
        this(requestClass, plan, 0, 2);
    }

    EngineScript(RequestClass requestClass, Plan plan, int rank, int gateways) {
        this(requestClass, plan, rank, gateways, true);
    }

    EngineScript(RequestClass requestClass, Plan plan, int rank, int gateways, boolean hedging) {
        this(requestClass, plan, rank, gateways, hedging, new SlowStart(0.2, 10_000, 2000));
    }

    EngineScript(RequestClass requestClass, Plan plan, int rank, int gateways, boolean hedging, SlowStart slowStart) {
        engine = new DefaultDecisionEngine(
                now,
                new DecisionSettings(
                        gateways,
                        List.of(requestClass),
                        List.of(plan),
                        new AttemptLimits(3, hedging, true, true, 1000),
                        slowStart,
                        new CounterSettings(true, 50),
                        4,
                        false,
                        false,
                        4),
                7 + rank,
                this);
    }

    static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(1000, idempotency, scope, 5000, 1);
    }

    static Plan planWithRate(double rate, double burst) {
        return new Plan(rate, burst, 0, 0, 0, 1, 0, 1);
    }

    static Endpoint endpoint(long id, EndpointState state, double startedAtMs, int zone) {
        return new Endpoint(id, state, startedAtMs, 0, zone, zone);
    }

    EngineScript withEndpoints(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int id = 1; id <= count; id++) {
            list.add(endpoint(id, EndpointState.READY, 0, id % 2));
        }
        engine.endpointsChanged(now, EndpointListType.SNAPSHOT, list);
        return this;
    }

    EngineScript updateEndpoints(Endpoint... endpoints) {
        engine.endpointsChanged(now, EndpointListType.DELTA, List.of(endpoints));
        return this;
    }

    long request(double units) {
        return request(units, 5);
    }

    long request(double units, long customer) {
        return request(units, customer, 2);
    }

    long request(double units, long customer, int spread) {
        return request(units, customer, spread, 3000);
    }

    /** Sends a request whose client waits for the given time. */
    long request(double units, long customer, int spread, double timeoutMs) {
        long id = nextId++;
        engine.requestReceived(now, new AdmissionRequest(id, 0, 0, customer, now + timeoutMs, units, spread, false));
        return id;
    }

    EngineScript endAttempt(long id, int attempt, long endpoint, Outcome outcome, double latencyMs) {
        engine.attemptEnded(
                now, new AttemptResult(id, attempt, endpoint, outcome, latencyMs, outcome == Outcome.OK, 0));
        return this;
    }

    /** Completes requests of one unit one by one, so that the engine learns their service time. */
    EngineScript completeRequests(int count, double latencyMs) {
        for (int i = 0; i < count; i++) {
            long id = request(1);
            advance(latencyMs).endAttempt(id, 0, endpointOf(id), Outcome.OK, latencyMs);
        }
        return this;
    }

    /** Advances the time in the engine's ticks. */
    EngineScript advance(double durationMs) {
        for (double endMs = now + durationMs; now < endMs; ) {
            now = Math.min(endMs, now + 50);
            engine.timerFired(now, timerTokens.get(0));
        }
        return this;
    }

    /** Answers the last counter call, after other gateways have added {@code addedByOthers} to the counter. */
    EngineScript answerCounter(double addedByOthers) {
        unansweredCounterCalls--;
        double total = counterTotals.merge(lastCounterName, addedByOthers + lastCounterAmount, Double::sum);
        engine.counterAnswered(now, lastCounterName, Outcome.OK, 5, total);
        return this;
    }

    EngineScript answerCounter(Outcome outcome) {
        unansweredCounterCalls--;
        engine.counterAnswered(now, lastCounterName, outcome, 50, 0);
        return this;
    }

    /** The counter calls that {@link #answerCounter} has not answered. */
    int unansweredCounterCalls() {
        return unansweredCounterCalls;
    }

    double lastCounterAmount() {
        return lastCounterAmount;
    }

    long endpointOf(long id) {
        String prefix = "forward " + id + " to ";
        return actions.stream()
                .filter(action -> action.startsWith(prefix))
                .reduce((action, later) -> later)
                .map(action -> Long.parseLong(action.substring(prefix.length())))
                .orElse(0L);
    }

    /** The number of requests sent to endpoints; retries are not counted. */
    long sentRequests() {
        return actions.stream()
                .filter(action -> action.startsWith("forward "))
                .map(action -> action.split(" ", -1)[1])
                .distinct()
                .count();
    }

    long countActions(String prefix) {
        return actions.stream().filter(action -> action.startsWith(prefix)).count();
    }

    @Override
    public void forward(long requestId, long endpoint, double timeoutMs) {
        actions.add("forward " + requestId + " to " + endpoint);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        actions.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void reject(long requestId, double retryAfterMs) {
        actions.add("refuse " + requestId + " after " + retryAfterMs);
    }

    @Override
    public void fail(long requestId) {
        actions.add("fail " + requestId);
    }

    @Override
    public void schedule(double delayMs, long token) {
        timerTokens.add(token);
    }

    @Override
    public void addToCounter(long name, double amount, double retentionMs) {
        lastCounterName = name;
        lastCounterAmount = amount;
        unansweredCounterCalls++;
        actions.add("add " + amount);
    }

    @Override
    public void watchEndpoints() {
        actions.add("subscribe");
    }
}
