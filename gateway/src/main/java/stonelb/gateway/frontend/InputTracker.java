package stonelb.gateway.frontend;

import stonelb.io.InputClock;

/**
 * When the input of one connection arrived, as far as that can be known, and whether all of it has been read. Only reading
 * shows that a client has disconnected.
 */
final class InputTracker {
    /** How long input may go unread before a disconnect counts as unnoticed; clients are owed 100 ms. */
    private static final double MAX_UNREAD_MS = 50;

    /** How much earlier than assumed a request may have arrived: the longest wait of an event loop with nothing to do. */
    private static final double MAX_ARRIVAL_ERROR_MS = 50;

    /** For the next byte of a message that has begun; clients expect an error or a close within 3 s. */
    private static final double MESSAGE_PAUSE_LIMIT_MS = 2000;

    /** For a whole message, so that a client that sends byte by byte does not hold its connection for good. */
    private static final double MESSAGE_DURATION_LIMIT_MS = 10_000;

    private static final double NONE = -1;

    private final InputClock clock;

    /** Input that is read up to this number of reads may have arrived before the latest one. */
    private long catchUpUntil;

    /** Since when input may have arrived that is read while catching up. */
    private double unreadSince;

    /** The same for the oldest input that is not decoded, or {@link #NONE}. */
    private double undecodedSince = NONE;

    /** Since when the connection is not read, or not completely; {@link #NONE} while it is. */
    private double behindSince = NONE;

    private double lastReceivedAt;
    private double messageBegunAt = NONE;

    InputTracker(InputClock clock) {
        this.clock = clock;
        unreadSince = clock.lastReadAt();
        catchUpUntil = clock.completedReads() + 1;
    }

    /** Input was read. */
    void received() {
        lastReceivedAt = clock.now();
        if (undecodedSince == NONE) {
            undecodedSince = clock.completedReads() <= catchUpUntil ? unreadSince : clock.lastReadAt();
        }
    }

    /** All input that was read has been decoded, but for part of a message. */
    void decoded(boolean partOfMessage) {
        undecodedSince = NONE;
        if (!partOfMessage) {
            messageBegunAt = NONE;
        } else if (messageBegunAt == NONE) {
            messageBegunAt = clock.now();
        }
    }

    /** The latest time at which the message that is being decoded can be assumed to have arrived. */
    double arrivalTime() {
        double now = clock.now();
        return undecodedSince == NONE ? now : Math.min(now, undecodedSince + MAX_ARRIVAL_ERROR_MS);
    }

    /** The connection is not read from now on, or was not read to the end of its input. */
    void fellBehind() {
        if (behindSince == NONE) {
            behindSince = clock.now();
            unreadSince = clock.lastReadAt();
        }
    }

    /** The connection is read again, from the next read on. */
    void resumed() {
        catchUpUntil = clock.completedReads() + 1;
    }

    /** All that had arrived has been read. */
    void caughtUp() {
        behindSince = NONE;
    }

    /** Whether a disconnect of the client would have been noticed, however busy the event loop is otherwise. */
    boolean noticesDisconnect() {
        return behindSince == NONE || clock.now() - behindSince <= MAX_UNREAD_MS;
    }

    boolean hasPartialMessage() {
        return messageBegunAt != NONE;
    }

    /** Whether the rest of a message that has begun is overdue. */
    boolean isMessageOverdue() {
        double now = clock.now();
        return hasPartialMessage()
                && (now - lastReceivedAt > MESSAGE_PAUSE_LIMIT_MS || now - messageBegunAt > MESSAGE_DURATION_LIMIT_MS);
    }
}
