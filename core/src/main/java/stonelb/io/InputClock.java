package stonelb.io;

/**
 * The clock of an event loop, and when the loop last read its connections. Between two reads nothing is known of what
 * arrived when, which matters where the loop was held up.
 */
public interface InputClock {

    /** The time in milliseconds. */
    double now();

    /**
     * When the sockets were last looked at, after which all input that had arrived was read. Input that came later waits,
     * and so do ends of connections. During a read this is the time before the present one, so that what is read has
     * arrived since.
     */
    double lastReadAt();

    /** How many times all connections have been read. */
    long completedReads();
}
