package stonelb.cli;

import java.util.concurrent.atomic.AtomicLong;

/** Counts responses by the outcome of their requests. Thread-safe. */
final class ResponseCounts {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;

    private final AtomicLong served = new AtomicLong();
    private final AtomicLong throttled = new AtomicLong();
    private final AtomicLong other = new AtomicLong();

    /** The counts of a period. */
    record Snapshot(long served, long throttled, long other) {}

    /** Counts a response by its HTTP status; 0 if there was no response. */
    void add(int status) {
        AtomicLong count =
                switch (status) {
                    case OK -> served;
                    case TOO_MANY_REQUESTS -> throttled;
                    default -> other;
                };
        count.incrementAndGet();
    }

    /** Returns the counts since the last call and resets them. */
    Snapshot takeAndReset() {
        return new Snapshot(served.getAndSet(0), throttled.getAndSet(0), other.getAndSet(0));
    }
}
