package stonelb.follower;

import com.github.xds.type.matcher.v3.Matcher;

/**
 * A route that forwards its requests to a cluster.
 *
 * @param routeName name of the route
 * @param cluster name of the cluster
 * @param timeoutMs timeout for all attempts of a request together, in milliseconds
 * @param maxRetries maximum number of attempts after the first
 * @param idempotent whether a request may be executed more than once, so that any failure is retried; otherwise
 *     only attempts that were provably not executed are retried
 * @param bucketMatcher maps a request to its quota bucket; null if no quota applies
 */
public record ClusterRoute(
        String routeName, String cluster, double timeoutMs, int maxRetries, boolean idempotent, Matcher bucketMatcher)
        implements RouteAction {}
