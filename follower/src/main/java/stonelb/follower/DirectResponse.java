package stonelb.follower;

/**
 * A route whose requests the proxy answers without forwarding them.
 *
 * @param status HTTP status code of the response
 */
record DirectResponse(int status) implements RouteAction {}
