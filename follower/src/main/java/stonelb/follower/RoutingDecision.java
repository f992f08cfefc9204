package stonelb.follower;

/** The decision on a request: forward it to a cluster or answer it locally. */
public sealed interface RoutingDecision {

    /**
     * The request is forwarded.
     *
     * @param route the route that matched, with its timeout and retry policy
     * @param pool the endpoints to pick from
     */
    record Forward(ClusterRoute route, EndpointPool pool) implements RoutingDecision {}

    /**
     * The proxy responds without forwarding the request; the response has no body.
     *
     * @param status HTTP status code
     * @param retryAfterMs when the client may retry, in milliseconds from now; 0 for none
     */
    record LocalReply(int status, double retryAfterMs) implements RoutingDecision {}
}
