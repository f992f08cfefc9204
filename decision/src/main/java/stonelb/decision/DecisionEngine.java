package stonelb.decision;

import java.util.List;

/**
 * The events that a host passes to the decision module, and the state that it may read from it.
 *
 * <p>A host creates one instance per gateway process and calls it from a single thread. Every call
 * carries the time of the host's clock in milliseconds; the module reads no other clock. Endpoints,
 * requests and customers are identified by numbers that the host chooses and gets back unchanged.
 */
public interface DecisionEngine {

    // Events.

    /** An endpoint list has arrived, or could not be fetched. */
    void endpointsChanged(double now, EndpointListType type, List<Endpoint> list);

    /** A client's request has arrived. */
    void requestReceived(double now, AdmissionRequest request);

    /** A streamed response has started: this attempt answers the request. */
    void responseStarted(double now, long requestId, int attempt);

    /** An attempt has ended. */
    void attemptEnded(double now, AttemptResult result);

    /** The client has disconnected or its deadline has passed: the request needs no answer any more. */
    void requestWithdrawn(double now, long requestId);

    /** The answer to a counter call; {@code total} is valid only with OK. Answers for a name arrive in call order. */
    void counterAnswered(double now, long name, Outcome outcome, double latencyMs, double total);

    /** A scheduled timer is due. */
    void timerFired(double now, long token);

    // State that a host may read and pass on to proxies that apply the same limits. Reading has no side effects.

    /** The priority tier of a class and plan; 0 is the lowest. */
    int tierOf(int classIndex, int planIndex);

    /** Per tier, the maximum attempts in flight: its reserve plus all shared slots, so the sum exceeds the slot limit. */
    int[] slotLimits();
}
