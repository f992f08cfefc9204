package stonelb.follower;

/** Why a pool has no endpoint for a request. */
public enum PickFailure {
    /** The cluster has as many requests in flight as its circuit breaker allows. */
    CIRCUIT_BREAKER_OPEN,
    /** No endpoint accepts requests. */
    NO_HEALTHY_ENDPOINT
}
