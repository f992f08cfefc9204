package stonelb.decision;

/** The endpoints that share idempotency keys, so that one recognises a retry of a request sent to another. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL;

    /** Whether two endpoints recognise each other's idempotency keys. */
    boolean includesBoth(TrackedEndpoint first, TrackedEndpoint second) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            case CELL -> first.cell() == second.cell();
        };
    }
}
