package stonelb.decision;

/** One attempt of a request at an endpoint. */
final class Attempt {
    private final TrackedEndpoint endpoint;
    private final double sentAtMs;
    private boolean ended;
    private boolean timedOut;

    Attempt(TrackedEndpoint endpoint, double sentAtMs) {
        this.endpoint = endpoint;
        this.sentAtMs = sentAtMs;
    }

    TrackedEndpoint endpoint() {
        return endpoint;
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
