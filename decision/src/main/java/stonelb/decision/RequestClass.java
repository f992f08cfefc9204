package stonelb.decision;

/** The settings of a class of requests. */
public record RequestClass(
        double latencyObjectiveMs,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        double priorityWeight) {}
