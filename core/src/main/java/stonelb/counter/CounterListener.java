package stonelb.counter;

import stonelb.decision.Outcome;

/** Listens for the results of calls to the quota counter. */
public interface CounterListener {

    /**
     * Called once with the result of each call, in the order of the calls for that name.
     *
     * @param latencyMs from the call to its result
     * @param total of the counter, where {@code outcome} is {@link Outcome#OK}
     */
    void counterAnswered(long name, Outcome outcome, double latencyMs, double total);
}
