package stonelb.gateway.frontend;

import io.netty.channel.Channel;

/**
 * Schedules reading and decoding of the input of one connection. Input is decoded after all connections have been read,
 * and only once this one has been read to the end of what had arrived, since a disconnect may directly follow the
 * client's requests.
 */
final class InputScheduler {
    /** Undecoded bytes at which reading pauses; enough for the largest part of a message. */
    private static final int READ_AHEAD_BYTES = 128 * 1024;

    /** Undecoded bytes at which reading pauses while the frontend is under memory pressure. */
    private static final int READ_AHEAD_UNDER_PRESSURE_BYTES = 16 * 1024;

    private final Frontend frontend;
    private final InputTracker tracker;
    private final Runnable decode;
    private Channel channel;
    private boolean scheduled;

    /** Whether the latest iteration of the event loop has read to the end of the input. */
    private boolean readToEnd = true;

    /**
     * Creates a scheduler for a connection that is not open yet.
     *
     * @param decode decodes the input that was read
     */
    InputScheduler(Frontend frontend, InputTracker tracker, Runnable decode) {
        this.frontend = frontend;
        this.tracker = tracker;
        this.decode = decode;
    }

    void opened(Channel openChannel) {
        channel = openChannel;
    }

    /** Whether decoding is scheduled because there is, or may be, undecoded input. */
    boolean isScheduled() {
        return scheduled;
    }

    /**
     * Called when the reads of one event loop iteration are complete.
     *
     * @param drained whether they reached the end of the input, unless reading was stopped meanwhile
     */
    void readComplete(boolean drained) {
        readToEnd = drained;
        if (!isReading()) {
            schedule();
        } else if (drained) {
            tracker.caughtUp();
            schedule();
        } else {
            tracker.fellBehind();
            scheduleAfterNextRead();
        }
    }

    /** Schedules decoding when it is this connection's turn, at the earliest in a later task of this iteration. */
    void schedule() {
        if (!scheduled) {
            scheduled = true;
            enqueue();
        }
    }

    private void enqueue() {
        frontend.loop().decodeQueue().add(this::run, channel.eventLoop());
    }

    /** Schedules decoding after the event loop has read all connections once more, including this one. */
    void scheduleAfterNextRead() {
        if (!scheduled) {
            scheduled = true;
            channel.eventLoop().execute(() -> {
                readToEnd = true; // unless the next read reports otherwise
                frontend.loop().runAfterNextRead(this::enqueue);
            });
        }
    }

    private void run() {
        scheduled = false;
        if (!channel.isActive()) {
            return;
        }
        if (isReading()) {
            if (!readToEnd) {
                scheduleAfterNextRead();
                return;
            }
            tracker.caughtUp();
        }
        decode.run();
    }

    /**
     * Whether more input may be read with this many bytes undecoded. The lower limit does not apply to a partial
     * message, which is read to its end.
     */
    boolean mayReadAhead(int bufferedBytes) {
        boolean limited = frontend.isUnderMemoryPressure() && !tracker.hasPartialMessage();
        return bufferedBytes < (limited ? READ_AHEAD_UNDER_PRESSURE_BYTES : READ_AHEAD_BYTES);
    }

    private boolean isReading() {
        return channel.config().isAutoRead();
    }

    /** Starts or stops reading. */
    void setReading(boolean reading) {
        if (reading == isReading()) {
            return;
        }
        channel.config().setAutoRead(reading);
        if (reading) {
            readToEnd = false;
            tracker.resumed();
            scheduleAfterNextRead();
        } else {
            tracker.fellBehind();
        }
    }
}
