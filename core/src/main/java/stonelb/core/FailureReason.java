package stonelb.core;

/** Why a request failed. */
public enum FailureReason {
    /** No attempt succeeded, and the request may have been executed. */
    ERROR,

    /** No response was received before the client's deadline. */
    DEADLINE_EXCEEDED
}
