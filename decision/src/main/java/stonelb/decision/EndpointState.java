package stonelb.decision;

/** The state of an endpoint according to the endpoint list. */
public enum EndpointState {
    READY,
    DRAINING,
    REMOVED
}
