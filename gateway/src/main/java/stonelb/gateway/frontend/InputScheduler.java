package stonelb.gateway.frontend;

import io.netty.channel.Channel;

/**
 * When the input of one connection is read and decoded. Input is decoded after all connections have been read, and only
 * when this one has been read to the end of what had arrived, since the client's disconnect may come right behind its
 * requests.
 */
final class InputScheduler {
    /** Bytes buffered and not decoded before reading pauses; holds the largest part of a message. */
    private static final int READ_AHEAD_BYTES = 128 * 1024;

    /** The same while the frontend is under memory pressure. */
    private static final int READ_AHEAD_UNDER_PRESSURE_BYTES = 16 * 1024;

    private final Frontend frontend;
    private final InputTracker tracker;
    private final Runnable decode;
    private Channel channel;
    private boolean scheduled;

    /** Whether the latest turn of the event loop has read to the end of the input. */
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

    /** Whether input waits to be decoded, or may wait. */
    boolean isScheduled() {
        return scheduled;
    }

    /**
     * The reads of one turn of the event loop are over.
     *
     * @param drained whether they ended with the input, unless reading was stopped meanwhile
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

    /** Has input decoded in a later task of this turn. */
    void schedule() {
        if (!scheduled) {
            scheduled = true;
            channel.eventLoop().execute(this::run);
        }
    }

    /** Has input decoded after the event loop has read all connections once more, this one among them. */
    void scheduleAfterNextRead() {
        if (!scheduled) {
            scheduled = true;
            // A timer that is set from a task, not from a read, runs after the next read.
            channel.eventLoop().execute(() -> {
                readToEnd = true; // unless the next read says otherwise
                frontend.runSoon(this::run);
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

    /** Whether more input may be read while so much is not decoded. A message that has begun is read to its end. */
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
