package stonelb.control.quota;

/** A request submitted to the decision engine in place of one that the proxy is expected to receive. */
final class SimulatedRequest {
    private static final long NOT_FORWARDED = -1;

    private final QuotaLease lease;
    private final int requestClass;
    private long endpoint = NOT_FORWARDED;
    private double forwardedAt;

    SimulatedRequest(QuotaLease lease, int requestClass) {
        this.lease = lease;
        this.requestClass = requestClass;
    }

    QuotaLease lease() {
        return lease;
    }

    int requestClass() {
        return requestClass;
    }

    boolean isForwarded() {
        return endpoint != NOT_FORWARDED;
    }

    void forwarded(long chosenEndpoint, double now) {
        endpoint = chosenEndpoint;
        forwardedAt = now;
    }

    /** The endpoint that the engine chose; valid once {@link #isForwarded}. */
    long endpoint() {
        return endpoint;
    }

    /** The time in milliseconds at which the engine forwarded it; valid once {@link #isForwarded}. */
    double forwardedAt() {
        return forwardedAt;
    }
}
