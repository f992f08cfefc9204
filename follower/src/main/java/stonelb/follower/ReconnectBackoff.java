package stonelb.follower;

import java.util.SplittableRandom;

/** Exponential backoff with jitter between attempts to reopen a stream. */
final class ReconnectBackoff {
    static final double MIN_DELAY_MS = 50;
    static final double MAX_DELAY_MS = 2000;
    private static final double MIN_JITTER = 0.5;

    private final SplittableRandom random;
    private double delayMs = MIN_DELAY_MS;

    ReconnectBackoff(SplittableRandom random) {
        this.random = random;
    }

    /** Resets the delay to its minimum; called once the service has responded. */
    void reset() {
        delayMs = MIN_DELAY_MS;
    }

    /** Returns the current delay times a random factor from 0.5 to 1.5, and doubles the current delay up to its maximum. */
    double nextDelayMs() {
        double jitteredMs = delayMs * (MIN_JITTER + random.nextDouble());
        delayMs = Math.min(MAX_DELAY_MS, 2 * delayMs);
        return jitteredMs;
    }
}
