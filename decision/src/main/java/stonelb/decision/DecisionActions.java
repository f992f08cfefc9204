package stonelb.decision;

/** The actions that the decision module requests from its host. They take effect immediately, in call order. */
public interface DecisionActions {

    /** Starts an attempt; a {@code timeoutMs} of 0 waits until the client's deadline. */
    void forward(long requestId, long endpoint, double timeoutMs);

    /** Cancels an attempt; its result is still reported. */
    void cancel(long requestId, int attempt);

    /** Rejects a request with a final answer; the client can retry it safely. */
    void reject(long requestId, double retryAfterMs);

    /** Fails a request with a final answer; the request may have been executed. */
    void fail(long requestId);

    /** Schedules a timer that fires with this token after the delay. */
    void schedule(double delayMs, long token);

    /** Adds an amount to the counter of this name, which is retained for at least that time, and reports its total. */
    void addToCounter(long name, double amount, double retentionMs);

    /** Requests the full endpoint list and subsequent changes to it. */
    void watchEndpoints();
}
