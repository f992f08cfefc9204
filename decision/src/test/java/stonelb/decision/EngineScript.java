package stonelb.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Plays scripted events to one instance and keeps the actions it takes, as plain text and in order. */
final class EngineScript implements DecisionActions {
    static final Plan OPEN = new Plan(0, 0, 0, 0, 0, 1, 0, 1);
    static final RequestClass SAFE = of(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);

    final List<String> actions = new ArrayList<>();
    final List<Long> tokens = new ArrayList<>();
    final DecisionEngine gateway;
    double now = 1000;
    private long nextId = 1;
    private long lastName;
    private double lastAmount;
    private int unansweredCalls;
    private final Map<Long, Double> totals = new HashMap<>();

    EngineScript(RequestClass type, Plan plan) {
        this(type, plan, 0, 2);
    }

    EngineScript(RequestClass type, Plan plan, int rank, int gateways) {
        this(type, plan, rank, gateways, true);
    }

    EngineScript(RequestClass type, Plan plan, int rank, int gateways, boolean secondCopies) {
        this(type, plan, rank, gateways, secondCopies, new SlowStart(0.2, 10_000, 2000));
    }

    EngineScript(RequestClass type, Plan plan, int rank, int gateways, boolean secondCopies, SlowStart rules) {
        gateway = new DefaultDecisionEngine(
                now,
                new DecisionSettings(
                        gateways,
                        List.of(type),
                        List.of(plan),
                        new AttemptLimits(3, secondCopies, true, true, 1000),
                        rules,
                        new CounterSettings(true, 50),
                        4,
                        false,
                        false,
                        4),
                7 + rank,
                this);
    }

    static RequestClass of(Idempotency effect, DeduplicationScope group) {
        return new RequestClass(1000, effect, group, 5000, 1);
    }

    static Plan rate(double rate, double burst) {
        return new Plan(rate, burst, 0, 0, 0, 1, 0, 1);
    }

    static Endpoint server(long id, EndpointState phase, double upSince, int zone) {
        return new Endpoint(id, phase, upSince, 0, zone, zone);
    }

    EngineScript servers(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            list.add(server(i, EndpointState.READY, 0, i % 2));
        }
        gateway.endpointsChanged(now, EndpointListType.SNAPSHOT, list);
        return this;
    }

    EngineScript delta(Endpoint... list) {
        gateway.endpointsChanged(now, EndpointListType.DELTA, List.of(list));
        return this;
    }

    long request(double units) {
        return request(units, 5);
    }

    long request(double units, long customer) {
        return request(units, customer, 2);
    }

    long request(double units, long customer, int width) {
        return request(units, customer, width, 3000);
    }

    /** A try whose client waits so long. */
    long request(double units, long customer, int width, double waitMs) {
        long id = nextId++;
        gateway.requestReceived(now, new AdmissionRequest(id, 0, 0, customer, now + waitMs, units, width, false));
        return id;
    }

    EngineScript ended(long id, int attempt, long server, Outcome how, double took) {
        gateway.attemptEnded(now, new AttemptResult(id, attempt, server, how, took, how == Outcome.OK, 0));
        return this;
    }

    /** Serves requests of one unit one by one, so that the module learns what they take. */
    EngineScript served(int count, double took) {
        for (int i = 0; i < count; i++) {
            long id = request(1);
            pass(took).ended(id, 0, serverOf(id), Outcome.OK, took);
        }
        return this;
    }

    /** Lets time pass in the module's own ticks. */
    EngineScript pass(double ms) {
        for (double end = now + ms; now < end; ) {
            now = Math.min(end, now + 50);
            gateway.timerFired(now, tokens.get(0));
        }
        return this;
    }

    /** Answers the last counter call as a counter would that only this gateway and {@code others} use. */
    EngineScript counted(double others) {
        unansweredCalls--;
        double total = totals.merge(lastName, others + lastAmount, Double::sum);
        gateway.counterAnswered(now, lastName, Outcome.OK, 5, total);
        return this;
    }

    EngineScript counted(Outcome how) {
        unansweredCalls--;
        gateway.counterAnswered(now, lastName, how, 50, 0);
        return this;
    }

    /** Calls of the counter that were not answered by {@link #counted}. */
    int unansweredCalls() {
        return unansweredCalls;
    }

    double lastAmount() {
        return lastAmount;
    }

    long serverOf(long id) {
        String mark = "forward " + id + " to ";
        return actions.stream()
                .filter(a -> a.startsWith(mark))
                .reduce((a, b) -> b)
                .map(a -> Long.parseLong(a.substring(mark.length())))
                .orElse(0L);
    }

    /** Requests sent on, each counted once. */
    long sent() {
        return actions.stream()
                .filter(a -> a.startsWith("forward "))
                .map(a -> a.split(" ", -1)[1])
                .distinct()
                .count();
    }

    long count(String start) {
        return actions.stream().filter(a -> a.startsWith(start)).count();
    }

    @Override
    public void forward(long id, long server, double patienceMs) {
        actions.add("forward " + id + " to " + server);
    }

    @Override
    public void cancel(long id, int attempt) {
        actions.add("cancel " + id + " " + attempt);
    }

    @Override
    public void reject(long id, double retryAfterMs) {
        actions.add("refuse " + id + " after " + retryAfterMs);
    }

    @Override
    public void fail(long id) {
        actions.add("fail " + id);
    }

    @Override
    public void schedule(double afterMs, long token) {
        tokens.add(token);
    }

    @Override
    public void addToCounter(long name, double amount, double keepMs) {
        lastName = name;
        lastAmount = amount;
        unansweredCalls++;
        actions.add("add " + amount);
    }

    @Override
    public void watchEndpoints() {
        actions.add("subscribe");
    }
}
