package stonelb.decision;

import java.util.Arrays;

/** The state of one endpoint: its list entry and the measurements of this gateway. */
final class TrackedEndpoint {
    private final long id;
    private final SlowStart slowStart;
    private final DecayingMean latencyRatio =
            new DecayingMean(1, EndpointHealth.MAX_LATENCY_SAMPLES, EndpointHealth.MIN_LATENCY_WEIGHT);
    private final int[] failures;
    private final double[] ejectedUntilMs;
    private final double[] respondedAtMs;
    private EndpointState state = EndpointState.READY;
    private double startedAtMs;
    private double warmAtMs;
    private double weight = 1;
    private int zone;
    private int cell;
    private int inFlight;
    private double budget;
    private double budgetAtMs;
    private double sendsPerMs;
    private double connectedAtMs = Double.NEGATIVE_INFINITY;
    private double unreachableUntilMs;
    private double lastErrorAtMs = Double.NEGATIVE_INFINITY;

    TrackedEndpoint(long id, SlowStart slowStart, int classCount) {
        this.id = id;
        this.slowStart = slowStart;
        failures = new int[classCount];
        ejectedUntilMs = new double[classCount];
        respondedAtMs = new double[classCount];
    }

    long id() {
        return id;
    }

    int zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    double weight() {
        return weight;
    }

    boolean isReady() {
        return state == EndpointState.READY;
    }

    /** Whether it is removed and has no attempt in flight. */
    boolean isRemovedAndIdle() {
        return state == EndpointState.REMOVED && inFlight == 0;
    }

    void markRemoved() {
        state = EndpointState.REMOVED;
    }

    /** Whether a list entry shows a start that is not known yet. */
    boolean isRestartedBy(Endpoint entry) {
        return entry.startedAtMs() > startedAtMs && entry.state() == EndpointState.READY;
    }

    /** Clears the measurements from before a restart and starts warming up with this budget of attempts. */
    void restart(double now, double startedAtMs, double initialBudget) {
        this.startedAtMs = startedAtMs;
        warmAtMs = startedAtMs + slowStart.rampMs();
        budget = initialBudget;
        budgetAtMs = now;
        Arrays.fill(failures, 0);
        Arrays.fill(ejectedUntilMs, 0);
        unreachableUntilMs = 0;
        latencyRatio.reset();
    }

    void update(Endpoint entry) {
        state = entry.state();
        weight = entry.weight() > 0 ? entry.weight() : 1;
        zone = entry.zone();
        cell = entry.cell();
    }

    int inFlight() {
        return inFlight;
    }

    void attemptSent() {
        inFlight++;
        budget--;
        sendsPerMs += 1 / EndpointHealth.SEND_RATE_WINDOW_MS;
    }

    void attemptEnded() {
        inFlight--;
    }

    /** The smoothed rate of this gateway's attempts, per millisecond. */
    double sendsPerMs() {
        return sendsPerMs;
    }

    /** Decays the measurements by one tick. */
    void tick(double tickMs) {
        sendsPerMs *= 1 - tickMs / EndpointHealth.SEND_RATE_WINDOW_MS;
        latencyRatio.decay(EndpointHealth.LATENCY_DECAY);
    }

    boolean isWarm(double now) {
        return now >= warmAtMs;
    }

    /** The share of its full capacity that can be relied on, which grows to 1 during the warm-up. */
    double capacity(double now) {
        if (isWarm(now)) {
            return 1;
        }
        double progress = Math.max(0, 1 - (warmAtMs - now) / Math.max(1, slowStart.rampMs()));
        return slowStart.initialCapacity() + (1 - slowStart.initialCapacity()) * progress;
    }

    /**
     * Refills the budget of attempts for the time since the last call, while the endpoint is warming up. Besides the
     * next attempt, at most {@code maxSaved} is saved; whole attempts beyond that expire.
     */
    double refillBudget(double now, double attemptsPerMs, double maxSaved) {
        budget += attemptsPerMs * (now - budgetAtMs);
        budget -= Math.max(0, Math.ceil(budget - 1 - maxSaved));
        budgetAtMs = now;
        return budget;
    }

    /** The smoothed ratio of its latencies to the expected ones. */
    DecayingMean latencyRatio() {
        return latencyRatio;
    }

    void recordSuccess(double now, int classIndex, double latencyToExpected) {
        latencyRatio.add(latencyToExpected);
        failures[classIndex] = 0;
        connectedAtMs = now;
        respondedAtMs[classIndex] = now;
    }

    double respondedAtMs(int classIndex) {
        return respondedAtMs[classIndex];
    }

    /** The time of its last successful response, which proves a connection. */
    double connectedAtMs() {
        return connectedAtMs;
    }

    double lastErrorAtMs() {
        return lastErrorAtMs;
    }

    void recordError(double now) {
        lastErrorAtMs = now;
    }

    /** The consecutive failures of a class. */
    int failures(int classIndex) {
        return failures[classIndex];
    }

    void countFailure(int classIndex) {
        failures[classIndex]++;
    }

    double ejectedUntilMs(int classIndex) {
        return ejectedUntilMs[classIndex];
    }

    void ejectUntil(int classIndex, double timeMs) {
        ejectedUntilMs[classIndex] = timeMs;
    }

    /** Ejects the endpoint for all classes. */
    void ejectUntil(double timeMs) {
        Arrays.fill(ejectedUntilMs, timeMs);
    }

    boolean isReachable(double now) {
        return now >= unreachableUntilMs;
    }

    void unreachableUntil(double timeMs) {
        unreachableUntilMs = timeMs;
    }
}
