package stonelb.decision;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    AT_MOST_ONCE
}
