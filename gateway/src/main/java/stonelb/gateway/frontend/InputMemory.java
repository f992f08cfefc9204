package stonelb.gateway.frontend;

import stonelb.core.MemoryBudget;

/** The memory that one connection holds for input and for responses that are not written, and its limit on the latter. */
final class InputMemory {
    /** Maximum number of requests without a response; decoding pauses at this limit. */
    private static final int MAX_PENDING_RESPONSES = 512;

    /** The same while much memory is held for input. */
    private static final int MAX_PENDING_RESPONSES_UNDER_PRESSURE = 32;

    /** Memory of a pending response besides its content: its objects and its place in the queue. */
    private static final int RESPONSE_OVERHEAD_BYTES = 256;

    private final MemoryBudget.Share share;
    private final MemoryBudget.Account account;

    InputMemory(MemoryBudget.Share share) {
        this.share = share;
        account = share.open();
    }

    void set(int messageBytes, int pendingResponses) {
        account.set(messageBytes + (long) pendingResponses * RESPONSE_OVERHEAD_BYTES);
    }

    void close() {
        account.set(0);
    }

    /** Whether one more request may be decoded. */
    boolean mayAddResponse(int pendingResponses) {
        int limit = share.isUnderPressure() ? MAX_PENDING_RESPONSES_UNDER_PRESSURE : MAX_PENDING_RESPONSES;
        return pendingResponses < limit;
    }
}
