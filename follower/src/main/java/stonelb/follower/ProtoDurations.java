package stonelb.follower;

import com.google.protobuf.Duration;
import com.google.protobuf.util.Durations;

/** Converts between protobuf durations and fractional milliseconds. */
final class ProtoDurations {
    private static final double NANOS_PER_MILLI = 1e6;

    private ProtoDurations() {}

    static double toMillis(Duration duration) {
        return Durations.toNanos(duration) / NANOS_PER_MILLI;
    }

    /** Converts a time in milliseconds; a negative one counts as zero. */
    static Duration fromMillis(double millis) {
        return Durations.fromNanos((long) (Math.max(0, millis) * NANOS_PER_MILLI));
    }
}
