package stonelb.cli;

import java.util.concurrent.locks.LockSupport;

/** The process's monotonic time in milliseconds, which is not related to the time of day. */
final class MonotonicClock {
    private static final double NANOS_PER_MS = 1e6;

    /** The shortest wait worth a sleep; shorter ones return at once. */
    private static final double SHORTEST_SLEEP_MS = 0.05;

    private MonotonicClock() {}

    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Waits until {@link #nowMs} reaches a time; may return slightly early. */
    static void sleepUntil(double timeMs) {
        double waitMs = timeMs - nowMs();
        if (waitMs > SHORTEST_SLEEP_MS) {
            LockSupport.parkNanos((long) (waitMs * NANOS_PER_MS));
        }
    }
}
