package stonelb.follower;

import io.envoyproxy.envoy.config.route.v3.Route;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.config.route.v3.VirtualHost;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaFilterConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The routes of a route configuration ({@code envoy.config.route.v3}) in order of precedence. A configuration with
 * an unsupported feature is rejected, and the proxy keeps its current one.
 */
final class RouteTable {
    private final List<RouteRule> rules = new ArrayList<>();

    /**
     * Reads a route configuration.
     *
     * @param configuration the resource
     * @param quotaFilter the listener's quota filter, whose buckets apply to routes that define none; may be null
     * @throws InvalidResourceException if it contains no route or an unsupported feature
     */
    RouteTable(RouteConfiguration configuration, RateLimitQuotaFilterConfig quotaFilter)
            throws InvalidResourceException {
        for (VirtualHost virtualHost : configuration.getVirtualHostsList()) {
            for (Route route : virtualHost.getRoutesList()) {
                rules.add(RouteReader.read(route, quotaFilter));
            }
        }
        if (rules.isEmpty()) {
            throw new InvalidResourceException("the route configuration holds no route");
        }
    }

    /**
     * Finds the first route that matches.
     *
     * @param path path without the query
     * @param headers headers by name in lower case, {@code :method} included
     * @return the action of the route, or null if none matches
     */
    RouteAction match(String path, Map<String, String> headers) {
        for (RouteRule rule : rules) {
            if (rule.matches(path, headers)) {
                return rule.action();
            }
        }
        return null;
    }
}
