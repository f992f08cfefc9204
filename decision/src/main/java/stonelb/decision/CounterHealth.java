package stonelb.decision;

/** Whether the shared counter responds, and how many requests a call to it stands for under overload. */
record CounterHealth(CounterSettings settings, CounterState state) {
    private static final int UNRESPONSIVE_AFTER_TIMEOUTS = 2; // in a row
    private static final double UNRESPONSIVE_CALL_INTERVAL_MS = 500;
    private static final double MAY_LOSE_COUNTS_AFTER_MS = 2000; // without an answer
    private static final double SLOW_FRACTION = 0.75; // of the timeout
    private static final double MAX_BATCH = 30;
    private static final double MAX_BATCH_WHILE_UNRESPONSIVE = 3;
    private static final double BATCH_GROWTH_FACTOR = 3;
    private static final double BATCH_DECAY_FACTOR = 0.92;

    boolean isUnresponsive() {
        return state.consecutiveTimeouts() >= UNRESPONSIVE_AFTER_TIMEOUTS;
    }

    /** Whether there is a counter and the pause after a call that timed out is over. */
    boolean mayCall(double now) {
        return settings.present() && now >= state.nextCallAtMs();
    }

    void callEnded(double now, Outcome outcome, double durationMs) {
        boolean slow = outcome != Outcome.OK || durationMs > SLOW_FRACTION * settings.timeoutMs();
        boolean overloaded = slow && outcome != Outcome.RESET; // a reset is a connection failure
        double maxBatch = isUnresponsive() ? MAX_BATCH_WHILE_UNRESPONSIVE : MAX_BATCH;
        double batch = state.batch() * (overloaded ? BATCH_GROWTH_FACTOR : BATCH_DECAY_FACTOR);
        state.setBatch(Math.max(1, Math.min(maxBatch, batch)));
        if (outcome == Outcome.TIMEOUT || outcome == Outcome.CONNECT_FAILED) {
            state.timedOut(now, now + UNRESPONSIVE_CALL_INTERVAL_MS);
            return;
        }
        if (isUnresponsive() && now - state.unresponsiveSinceMs() > MAY_LOSE_COUNTS_AFTER_MS) {
            state.setResetAt(now);
        }
        state.answered();
    }
}
