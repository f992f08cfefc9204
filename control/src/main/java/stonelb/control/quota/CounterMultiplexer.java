package stonelb.control.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import stonelb.core.QuotaCounter;
import stonelb.decision.DecisionEngine;
import stonelb.decision.Outcome;

/**
 * Shares one client of the quota counter among the decision engines of all proxies. The engines use the same counter
 * names, as those of gateways do. Responses for a name arrive in the order of its calls, so a queue of callers for each
 * name is enough to route each response to its engine.
 */
public final class CounterMultiplexer {
    private final QuotaCounter quotaCounter;
    private final Map<Long, ArrayDeque<DecisionEngine>> callersByName = new HashMap<>();
    private int openCalls;

    /**
     * Creates the multiplexer.
     *
     * @param quotaCounter receives the calls; its responses have to be passed to {@link #counterAnswered}
     */
    public CounterMultiplexer(QuotaCounter quotaCounter) {
        this.quotaCounter = quotaCounter;
    }

    void add(DecisionEngine caller, long name, double amount, double expiryMs) {
        callersByName.computeIfAbsent(name, key -> new ArrayDeque<>(2)).add(caller);
        openCalls++;
        quotaCounter.add(name, amount, expiryMs);
    }

    /**
     * Passes a response to the engine whose call for this name has waited longest.
     *
     * @param latencyMs how long the call took, in milliseconds
     * @param total the total of the name; valid with {@link Outcome#OK} only
     */
    public void counterAnswered(double now, long name, Outcome outcome, double latencyMs, double total) {
        ArrayDeque<DecisionEngine> callers = callersByName.get(name);
        if (callers == null) {
            return;
        }
        DecisionEngine caller = callers.poll();
        openCalls--;
        if (callers.isEmpty()) {
            callersByName.remove(name);
        }
        caller.counterAnswered(now, name, outcome, latencyMs, total);
    }

    /** The number of calls that have no response yet. */
    public int openCalls() {
        return openCalls;
    }
}
