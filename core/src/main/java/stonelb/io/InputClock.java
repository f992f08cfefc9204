package stonelb.io;

/**
 * The clock of an event loop, and the time at which the loop last read its connections. When input arrived between two
 * reads is unknown, which matters if the loop was delayed.
 */
public interface InputClock {

    /** The time in milliseconds. */
    double now();

    /**
     * The time of the last completed read of all sockets: input that arrived by then has been read, and later input and
     * connection closes have not. During a read this is the time of the previous one, after which the input being read has
     * arrived.
     */
    double lastReadAt();

    /** The number of times that all connections have been read. */
    long completedReads();
}
