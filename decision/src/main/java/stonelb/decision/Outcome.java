package stonelb.decision;

/** How an attempt or a counter call ended. */
public enum Outcome {
    OK,
    ERROR,
    REJECTED,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    NOT_SENT;

    /** Whether this outcome proves that the attempt was never executed. */
    public boolean provesNotExecuted() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
