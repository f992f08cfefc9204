package stonelb.decision;

/** The time windows of one customer's counter names. Windows of different customers begin at different times. */
final class CounterWindow {
    private static final long MAX_OFFSET_MS = 1L << 20;
    private static final long INDEX_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final long customerHash;
    private final double offsetMs;

    CounterWindow(long customer) {
        customerHash = HashMixer.mix(customer);
        offsetMs = Math.floorMod(customerHash, MAX_OFFSET_MS);
    }

    /** The time since the current window of this length began. */
    double ageMs(double now, double lengthMs) {
        return (now + offsetMs) % lengthMs;
    }

    /** The index of the current window of this length. */
    long index(double now, double lengthMs) {
        return Math.round((now + offsetMs - ageMs(now, lengthMs)) / lengthMs);
    }

    /** The counter name of a window. */
    long counterName(long index) {
        return HashMixer.mix(customerHash + index * INDEX_MULTIPLIER);
    }
}
