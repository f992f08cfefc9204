package stonelb.decision;

/** The endpoints that share idempotency keys, so that one recognises a retry of a request sent to another. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL;

    /** Whether an endpoint recognises the idempotency key of an earlier attempt. */
    boolean includesBoth(Attempt earlier, TrackedEndpoint endpoint) {
        return switch (this) {
            case ALL -> true;
            case ZONE -> earlier.zone() == endpoint.zone();
            case CELL -> earlier.cell() == endpoint.cell();
        };
    }
}
