package stonelb.decision;

/** One attempt of a request at an endpoint. */
final class Attempt {
    private final TrackedEndpoint endpoint;
    private final double sentAtMs;

    /** Where the endpoint was then: another process may take its place, which does not know the request. */
    private final int zone;

    private final int cell;
    private boolean ended;
    private boolean timedOut;

    Attempt(TrackedEndpoint endpoint, double sentAtMs) {
        this.endpoint = endpoint;
        this.sentAtMs = sentAtMs;
        zone = endpoint.zone();
        cell = endpoint.cell();
    }

    TrackedEndpoint endpoint() {
        return endpoint;
    }

    /** The zone of the endpoint when the attempt was sent. */
    int zone() {
        return zone;
    }

    /** The cell of the endpoint when the attempt was sent. */
    int cell() {
        return cell;
    }

    double sentAtMs() {
        return sentAtMs;
    }

    boolean hasEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    /** Whether it has timed out; it is still in flight, but holds no slot. */
    boolean hasTimedOut() {
        return timedOut;
    }

    void markTimedOut() {
        timedOut = true;
    }
}
