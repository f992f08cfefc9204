package stonelb.gateway.frontend;

import stonelb.io.InputClock;

/**
 * Tracks when the input of one connection arrived, as far as that can be determined, and whether all of it has been
 * read. A disconnect of the client is detected only by reading.
 */
final class InputTracker {
    /**
     * How long input may go unread before a disconnect counts as undetected. No attempt may start more than 100 ms
     * after a disconnect.
     */
    private static final double MAX_UNREAD_MS = 50;

    /** How much earlier than assumed a request may have arrived: the longest wait of an idle event loop. */
    private static final double MAX_ARRIVAL_ERROR_MS = 50;

    /** Timeout for the next byte of a partial message; clients expect an error or a close within 3 s. */
    private static final double MESSAGE_PAUSE_LIMIT_MS = 2000;

    /**
     * Timeout for a complete message, so that a client that sends byte by byte can't keep its connection indefinitely.
     */
    private static final double MESSAGE_DURATION_LIMIT_MS = 10_000;

    private static final double NONE = -1;

    private final InputClock clock;

    /** Input received up to this number of completed reads may have arrived before the latest read. */
    private long catchUpUntil;

    /** The earliest time at which input received while catching up may have arrived. */
    private double unreadSince;

    /** The earliest time at which the oldest undecoded input may have arrived, or {@link #NONE}. */
    private double undecodedSince = NONE;

    /** Since when the connection has not been read, or not to the end; {@link #NONE} while all input is read. */
    private double behindSince = NONE;

    private double lastReceivedAt;
    private double messageStartedAt = NONE;

    InputTracker(InputClock clock) {
        this.clock = clock;
        unreadSince = clock.lastReadAt();
        catchUpUntil = clock.completedReads() + 1;
    }

    /** Called when input was read. */
    void received() {
        lastReceivedAt = clock.now();
        if (undecodedSince == NONE) {
            undecodedSince = clock.completedReads() <= catchUpUntil ? unreadSince : clock.lastReadAt();
        }
    }

    /** Called when all input that was read has been decoded, except for part of a message. */
    void decoded(boolean midMessage) {
        undecodedSince = NONE;
        if (!midMessage) {
            messageStartedAt = NONE;
        } else if (messageStartedAt == NONE) {
            messageStartedAt = clock.now();
        }
    }

    /** The latest time at which the message that is being decoded can be assumed to have arrived. */
    double arrivalTime() {
        double now = clock.now();
        return undecodedSince == NONE ? now : Math.min(now, undecodedSince + MAX_ARRIVAL_ERROR_MS);
    }

    /** Called when reading stops, or when the input was not read to its end. */
    void fellBehind() {
        if (behindSince == NONE) {
            behindSince = clock.now();
            unreadSince = clock.lastReadAt();
        }
    }

    /** Called when reading resumes, starting with the next read. */
    void resumed() {
        catchUpUntil = clock.completedReads() + 1;
    }

    /** Called when all input that had arrived has been read. */
    void caughtUp() {
        behindSince = NONE;
    }

    /** Whether a disconnect of the client would have been detected, however busy the event loop is otherwise. */
    boolean canDetectDisconnect() {
        return behindSince == NONE || clock.now() - behindSince <= MAX_UNREAD_MS;
    }

    boolean hasPartialMessage() {
        return messageStartedAt != NONE;
    }

    /** Whether the rest of a partial message is overdue. */
    boolean isMessageOverdue() {
        double now = clock.now();
        return hasPartialMessage()
                && (now - lastReceivedAt > MESSAGE_PAUSE_LIMIT_MS
                        || now - messageStartedAt > MESSAGE_DURATION_LIMIT_MS);
    }
}
