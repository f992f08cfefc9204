package stonelb.decision;

import java.util.ArrayList;
import java.util.List;

/** A request from its arrival until its last attempt has ended. */
final class OpenRequest {
    private final AdmissionRequest arrival;
    private final RequestClass requestClass;
    private final double weight;
    private final int tier;
    private final double objectiveAtMs;
    private final List<Attempt> attempts = new ArrayList<>();
    private Customer customer;
    private int inFlight;
    private boolean mayHaveExecuted;

    /** Creates a request that arrives now. */
    OpenRequest(double now, AdmissionRequest arrival, DecisionSettings settings, PriorityTiers tiers) {
        this.arrival = arrival;
        requestClass = settings.classes().get(arrival.requestClass());
        weight = PriorityTiers.weight(requestClass, settings.plans().get(arrival.plan()));
        tier = tiers.tierOf(weight);
        objectiveAtMs = Math.min(now + requestClass.latencyObjectiveMs(), arrival.deadlineMs());
    }

    long id() {
        return arrival.id();
    }

    AdmissionRequest arrival() {
        return arrival;
    }

    double units() {
        return arrival.units();
    }

    /** The index of its class in the settings. */
    int classIndex() {
        return arrival.requestClass();
    }

    RequestClass requestClass() {
        return requestClass;
    }

    Idempotency idempotency() {
        return requestClass.idempotency();
    }

    /** The priority weight of the class times the price of the plan. */
    double weight() {
        return weight;
    }

    int tier() {
        return tier;
    }

    /** The end of its latency objective, or its deadline if that is earlier. */
    double objectiveAtMs() {
        return objectiveAtMs;
    }

    /** The customer, null for a request that was rejected before its quota was checked. */
    Customer customer() {
        return customer;
    }

    QuotaLease lease() {
        return customer.lease();
    }

    void setCustomer(Customer customer) {
        this.customer = customer;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    /** The attempt at that index, null if there is none. */
    Attempt attempt(int index) {
        return index < attempts.size() ? attempts.get(index) : null;
    }

    /** The latest attempt, null if there is none. */
    Attempt lastAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    int inFlight() {
        return inFlight;
    }

    void attemptSent(Attempt attempt) {
        attempts.add(attempt);
        inFlight++;
    }

    void attemptEnded(Attempt attempt, Outcome outcome) {
        attempt.markEnded();
        inFlight--;
        mayHaveExecuted |= !outcome.provesNotExecuted();
    }

    /** Whether an attempt that has ended, or one still in flight, may have had an effect. */
    boolean mayHaveExecuted() {
        return mayHaveExecuted || inFlight > 0;
    }
}
