package stonelb.decision;

import java.util.ArrayList;
import java.util.List;

/** The state of a customer at this gateway: its lease and the requests that are held for the counter. */
final class Customer {
    private final QuotaLease lease;
    private final List<OpenRequest> waiting = new ArrayList<>();
    private double retriesExpectedUntilMs;

    Customer(QuotaLease lease) {
        this.lease = lease;
    }

    QuotaLease lease() {
        return lease;
    }

    /** Holds a request until the counter has answered. */
    void hold(OpenRequest request) {
        waiting.add(request);
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Releases the held requests and returns them in order of arrival. */
    List<OpenRequest> release() {
        List<OpenRequest> released = List.copyOf(waiting);
        waiting.clear();
        return released;
    }

    /** Whether its next requests are probably retries of rejected requests. */
    boolean expectsRetries(double now) {
        return now < retriesExpectedUntilMs;
    }

    void expectRetriesUntil(double timeMs) {
        retriesExpectedUntilMs = timeMs;
    }
}
