package stonelb.gateway.endpoint;

/**
 * The longest time that a connection may have been idle to carry a request that is not idempotent.
 *
 * <p>Endpoints, or middleboxes before them, may drop connections long before the configured idle timeout, and each such
 * connection fails a request that can't be retried. Every stale connection lowers the limit below its idle time; the
 * limit then doubles every two seconds, up to a fixed maximum.
 */
final class IdleReuseLimit {
    /** Shorter than the quiet period after a response: at this limit no connection is reused. */
    private static final double MIN_MS = 5;

    private static final double DOUBLING_MS = 2000;
    private static final double MAX_DOUBLINGS = 60;
    private static final double DECREASE_FACTOR = 0.7;

    private final double maxMs;
    private double limitMs;
    private double updatedAt;

    IdleReuseLimit(double maxMs) {
        this.maxMs = maxMs;
        limitMs = maxMs;
    }

    /** The limit at time {@code now}, in milliseconds. */
    double at(double now) {
        double doublings = Math.min(MAX_DOUBLINGS, (now - updatedAt) / DOUBLING_MS);
        return Math.min(maxMs, limitMs * Math.pow(2, doublings));
    }

    /** Lowers the limit after a connection that had been idle for {@code idleMs} turned out to be stale. */
    void staleConnectionFound(double idleMs, double now) {
        limitMs = Math.max(MIN_MS, DECREASE_FACTOR * Math.min(idleMs, at(now)));
        updatedAt = now;
    }
}
