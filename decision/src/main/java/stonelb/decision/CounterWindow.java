package stonelb.decision;

/**
 * The time windows of one customer's counter names; the windows of different customers begin at different times.
 *
 * <p>Windows are numbered from the begin of an hour, which is far longer than the counter keeps a name. All gateways have
 * to use the same names, and one that starts after the wall clock has stepped by an hour still does.
 */
final class CounterWindow {
    private static final double PERIOD_MS = 3_600_000;
    private static final long MAX_OFFSET_MS = 1L << 20;
    private static final long INDEX_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final long customerHash;
    private final double offsetMs;

    CounterWindow(long customer) {
        customerHash = HashMixer.mix(customer);
        offsetMs = Math.floorMod(customerHash, MAX_OFFSET_MS);
    }

    /** Time since the present window of this length began. */
    double ageMs(double now, double lengthMs) {
        return timeInPeriodMs(now) % lengthMs;
    }

    /** The number of the present window of this length; the last one before the period ends is shorter. */
    long index(double now, double lengthMs) {
        return (long) Math.floor(timeInPeriodMs(now) / lengthMs);
    }

    private double timeInPeriodMs(double now) {
        return (now + offsetMs) % PERIOD_MS;
    }

    /** The counter name of a window. */
    long counterName(long index) {
        return HashMixer.mix(customerHash + index * INDEX_MULTIPLIER);
    }
}
