package stonelb.decision;

/** The state of the shared counter as shown by its last answers. */
final class CounterState {
    private double batch = 1;
    private int consecutiveTimeouts;
    private double unresponsiveSinceMs;
    private double nextCallAtMs;
    private double resetAtMs = Double.NEGATIVE_INFINITY;

    /** The number of requests whose units a call should cover; 1 while the counter is not overloaded. */
    double batch() {
        return batch;
    }

    void setBatch(double batch) {
        this.batch = batch;
    }

    /** The number of consecutive calls without an answer. */
    int consecutiveTimeouts() {
        return consecutiveTimeouts;
    }

    /** Records a call without an answer; the next call may be made at {@code nextCallAtMs}. */
    void timedOut(double now, double nextCallAtMs) {
        unresponsiveSinceMs = consecutiveTimeouts == 0 ? now : unresponsiveSinceMs;
        consecutiveTimeouts++;
        this.nextCallAtMs = nextCallAtMs;
    }

    void answered() {
        consecutiveTimeouts = 0;
    }

    /** When the first of the consecutive calls without an answer failed. */
    double unresponsiveSinceMs() {
        return unresponsiveSinceMs;
    }

    double nextCallAtMs() {
        return nextCallAtMs;
    }

    /**
     * When it last answered again after an outage in which it may have lost its counts. A single total
     * does not show whether it has.
     */
    double resetAtMs() {
        return resetAtMs;
    }

    void setResetAt(double timeMs) {
        resetAtMs = timeMs;
    }
}
