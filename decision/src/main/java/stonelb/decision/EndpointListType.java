package stonelb.decision;

/** The kind of an endpoint list update; a failed one has no entries and changes nothing. */
public enum EndpointListType {
    DELTA,
    SNAPSHOT,
    CACHED,
    FAILED
}
