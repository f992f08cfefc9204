package stonelb.follower;

/** The monotonic clock for deadlines and latencies. */
public final class MonotonicClock {
    private static final double NANOS_PER_MILLI = 1e6;

    private MonotonicClock() {}

    /** The current time in milliseconds from an arbitrary origin. */
    public static double nowMs() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
