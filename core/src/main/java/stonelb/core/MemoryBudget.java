package stonelb.core;

import java.util.ArrayDeque;

/**
 * The one bound on the memory that a process holds for messages. It has an equal share for each use, so that none can
 * take what another needs to make progress. Whoever holds bytes has an {@link Account} of a share, and sets it to what it
 * holds until that is 0.
 *
 * <p>Confined to the event-loop thread.
 */
public final class MemoryBudget {
    /** The rest of the heap is for the program, the state of customers and endpoints, and garbage. */
    private static final double HEAP_FRACTION = 0.4;

    private static final int SHARES = 3;

    private final Share input;
    private final Share requests;
    private final Share responses;

    /** Creates a budget of that many bytes for all uses together. */
    public MemoryBudget(long totalBytes) {
        input = new Share(totalBytes / SHARES);
        requests = new Share(totalBytes / SHARES);
        responses = new Share(totalBytes / SHARES);
    }

    /** Creates the budget of a process, a part of its heap. */
    public static MemoryBudget ofHeap() {
        return new MemoryBudget((long) (HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    }

    /** For input of clients that is not a request yet, and for responses that need no endpoint. */
    public Share input() {
        return input;
    }

    /** For requests without a final response. */
    public Share requests() {
        return requests;
    }

    /** For responses of endpoints, from their first bytes until they are written to the client. */
    public Share responses() {
        return responses;
    }

    /** The memory for one use. */
    public static final class Share {
        private final long limitBytes;
        private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
        private long heldBytes;

        /** The part of them that is held for incomplete messages. */
        private long incompleteBytes;

        private int reservations;

        /** A task that waits until it can reserve memory. */
        private record Waiting(long bytes, Runnable task) {}

        private Share(long limitBytes) {
            this.limitBytes = limitBytes;
        }

        /** Creates an account that holds nothing. */
        public Account open() {
            return new Account(this, false);
        }

        /** Creates an account for incomplete messages, which may reserve memory to complete them. */
        public Account openForIncomplete() {
            return new Account(this, true);
        }

        /** Whether that many more bytes are within the limit. */
        public boolean fits(long bytes) {
            return heldBytes + bytes <= limitBytes;
        }

        /** Whether more than half of the limit is held. */
        public boolean isUnderPressure() {
            return heldBytes > limitBytes / 2;
        }

        /** The bytes that all accounts hold. */
        public long heldBytes() {
            return heldBytes;
        }

        /**
         * The first reservation does not depend on other incomplete messages: they alone could use up the limit, and
         * none would be completed.
         */
        private boolean mayReserve(long bytes) {
            long ignoredBytes = reservations == 0 ? incompleteBytes : 0;
            return fits(bytes - ignoredBytes);
        }

        private void add(long change, boolean incomplete) {
            heldBytes += change;
            incompleteBytes += incomplete ? change : 0;
            if (change < 0) {
                runWaiting();
            }
        }

        private void runWaiting() {
            while (!waiting.isEmpty() && mayReserve(waiting.peek().bytes)) {
                waiting.poll().task.run();
            }
        }
    }

    /** What one connection or request holds. */
    public static final class Account {
        private final boolean incomplete;
        private Share share;
        private long bytes;
        private boolean reserved;

        private Account(Share share, boolean incomplete) {
            this.share = share;
            this.incomplete = incomplete;
        }

        /** Sets the bytes that are held; ends a reservation. */
        public void set(long newBytes) {
            if (reserved) {
                reserved = false;
                share.reservations--;
            }
            long change = newBytes - bytes;
            bytes = newBytes;
            share.add(change, incomplete);
        }

        /** Sets the bytes that are held, and in which share. */
        public void set(Share newShare, long newBytes) {
            set(0);
            share = newShare;
            set(newBytes);
        }

        /**
         * Reserves memory, so that a long message can be read to its end.
         *
         * @param totalBytes what is held from then on, including what is held now
         * @param whenAvailable called later if there is too little memory now, to try again
         * @return whether the memory is reserved
         */
        public boolean reserve(long totalBytes, Runnable whenAvailable) {
            if (!share.mayReserve(totalBytes - bytes)) {
                share.waiting.add(new Share.Waiting(totalBytes - bytes, whenAvailable));
                return false;
            }
            set(totalBytes);
            reserved = true;
            share.reservations++;
            return true;
        }

        /** Whether memory is reserved. */
        public boolean isReserved() {
            return reserved;
        }
    }
}
