package stonelb.control.resources;

import com.google.protobuf.Message;
import io.envoyproxy.envoy.type.v3.RateLimitStrategy;
import java.util.List;
import java.util.Map;
import java.util.function.IntBinaryOperator;
import stonelb.decision.DecisionSettings;
import stonelb.decision.Plan;
import stonelb.description.Routes;

/**
 * Creates the xDS resources (v3) for proxies. It does no I/O and is deterministic: equal input gives equal bytes, so
 * that a version changes only with its content.
 */
public final class ResourceFactory {
    /** The listener for proxies. */
    public static final String LISTENER = "stonelb";

    /** The route configuration for proxies. */
    public static final String ROUTES = "stonelb-routes";

    /** The route configuration for proxyless gRPC clients. */
    public static final String GRPC_ROUTES = "stonelb-grpc-routes";

    /** The gRPC metadata key for the proxy's node name on a quota stream. */
    public static final String NODE_HEADER = "x-stonelb-node";

    /** The EDS service name of the endpoint assignment that the clusters of all tiers share. */
    public static final String EDS_SERVICE_NAME = "plan-servers";

    /** Prefix of cluster names; the number of the tier follows. */
    public static final String CLUSTER_PREFIX = "plan-servers-t";

    /** The name of the quota filter. */
    public static final String QUOTA_FILTER = "envoy.filters.http.rate_limit_quota";

    /** The domain of quota reports. */
    public static final String DOMAIN = "stonelb";

    /** The request header with the customer, a hexadecimal number. */
    public static final String CUSTOMER_HEADER = "x-customer";

    /** The request header with the name of the customer's plan. */
    public static final String PLAN_HEADER = "x-plan";

    /** The request header with the number of proxies and gateways that the customer uses. */
    public static final String SPREAD_HEADER = "x-spread";

    /** The response header by which an endpoint states that it has not processed the request. */
    public static final String UNPROCESSED_HEADER = "x-unprocessed";

    private final QuotaFilterFactory quotaFilterFactory;
    private final ListenerFactory listenerFactory;
    private final RouteFactory routeFactory;
    private final ClusterFactory clusterFactory;

    /**
     * Creates the factory.
     *
     * @param classes names of request classes, in the order of the settings
     * @param deadlinesMs by request class, the time limit of its requests
     * @param plans names of plans, in the order of the settings
     * @param connectTimeoutMs how long proxies wait for a connection to an endpoint
     */
    public ResourceFactory(
            DecisionSettings settings,
            List<String> classes,
            List<Double> deadlinesMs,
            List<String> plans,
            int connectTimeoutMs,
            ResourceOptions options) {
        quotaFilterFactory = new QuotaFilterFactory(settings, plans, options);
        listenerFactory = new ListenerFactory(quotaFilterFactory, options.grpcListener());
        routeFactory = new RouteFactory(
                settings, classes, deadlinesMs, plans, quotaFilterFactory, options.grpcListener() != null);
        clusterFactory = new ClusterFactory(connectTimeoutMs);
    }

    /**
     * The listeners by name, for one node: the one for proxies, and the one for proxyless gRPC clients if configured.
     */
    public Map<String, Message> listeners(String node) {
        return listenerFactory.listeners(node);
    }

    /** The rate without an assignment for a customer of this plan, in requests of this cost. */
    public RateLimitStrategy fallbackStrategy(Plan plan, double cost) {
        return quotaFilterFactory.fallbackStrategy(plan, cost);
    }

    /**
     * The route configurations by name.
     *
     * @param apiRoutes the operations of the API description
     * @param tierOf the tier of a request class and a plan
     */
    public Map<String, Message> routes(Routes apiRoutes, IntBinaryOperator tierOf) {
        return routeFactory.routes(apiRoutes, tierOf);
    }

    /**
     * The clusters by name.
     *
     * @param slotLimits by tier, the most requests that the proxy may have in flight
     */
    public Map<String, Message> clusters(int[] slotLimits) {
        return clusterFactory.clusters(slotLimits);
    }

    /** The endpoint assignment by name: ready endpoints with their weights, draining ones marked, by zone. */
    public Map<String, Message> endpoints(List<EndpointResource> endpoints) {
        return Map.of(EDS_SERVICE_NAME, EndpointFactory.assignment(endpoints));
    }
}
