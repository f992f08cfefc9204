package stonelb.control;

/**
 * Limits and intervals of one control service; the limits prevent one proxy from exhausting resources that the others
 * need.
 */
final class ControlLimits {
    /** Maximum size of a received message; a larger one ends its stream. */
    static final int MAX_MESSAGE_BYTES = 4 << 20;

    /** Maximum size of the headers of one call. */
    static final int MAX_METADATA_BYTES = 16 << 10;

    /** Maximum number of subscribed names of one resource type on one stream. */
    static final int MAX_RESOURCE_NAMES = 20_000;

    /** Maximum number of buckets in one usage report. */
    static final int MAX_BUCKETS_PER_REPORT = 50_000;

    /**
     * How long a response may remain without ACK or NACK, or a proxy may leave assignments on its quota stream unread.
     */
    static final double STALL_TIMEOUT_MS = 30_000;

    /** Interval between checks for stalled streams, idle buckets and disconnected proxies. */
    static final double SWEEP_INTERVAL_MS = 250;

    /** Interval between updates of endpoint weights and slot limits. */
    static final double WEIGHT_UPDATE_INTERVAL_MS = 500;

    private ControlLimits() {}
}
