package stonelb.follower;

import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.listener.v3.Listener;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaFilterConfig;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpFilter;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The resources in use: routes, the quota filter of the listener, and a pool of endpoints for each cluster. The executor
 * thread of the {@link ControlClient} changes them; {@link #pools} and {@link #isReady} may be called from any thread.
 */
final class ProxyResources {

    /** Receives the changes that applied resources require elsewhere. */
    interface ChangeListener {

        /** Replaces the subscribed names of a type. */
        void subscriptionChanged(ResourceType type, Collection<String> names);

        /** Called when a listener resource contains a changed quota filter. */
        void quotaFilterChanged();
    }

    private final ChangeListener changeListener;
    private final Map<String, EndpointPool> pools = new ConcurrentHashMap<>();

    /** Endpoint assignments in use, kept for clusters that are received after them. */
    private Map<String, Any> endpointAssignments = Map.of();

    private RateLimitQuotaFilterConfig quotaFilter;
    private RouteConfiguration routeConfiguration;
    private volatile RouteTable routeTable;

    ProxyResources(ChangeListener changeListener) {
        this.changeListener = changeListener;
    }

    /** An unmodifiable live view of the pools by cluster name. */
    Map<String, EndpointPool> pools() {
        return Collections.unmodifiableMap(pools);
    }

    /** The routes, or null before the first. */
    RouteTable routeTable() {
        return routeTable;
    }

    /** The quota filter, or null before the first. */
    RateLimitQuotaFilterConfig quotaFilter() {
        return quotaFilter;
    }

    /** Whether there are routes and at least one endpoint that accepts requests. */
    boolean isReady() {
        return routeTable != null
                && pools.values().stream()
                        .anyMatch(pool -> pool.endpoints().stream().anyMatch(UpstreamEndpoint::acceptsRequests));
    }

    /**
     * Applies all resources of a type.
     *
     * @throws InvalidResourceException if one can't be read or is unsupported
     */
    void apply(ResourceType type, Map<String, Any> resources) throws InvalidResourceException {
        try {
            switch (type) {
                case LISTENER -> applyListeners(resources.values());
                case ROUTES -> applyRoutes(resources.values());
                case CLUSTER -> applyClusters(resources.values());
                case ENDPOINTS -> {
                    applyAssignments(resources.values());
                    endpointAssignments = Map.copyOf(resources);
                }
            }
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidResourceException("a resource can't be read: " + e.getMessage());
        }
    }

    private void applyListeners(Collection<Any> resources)
            throws InvalidProtocolBufferException, InvalidResourceException {
        for (Any resource : resources) {
            HttpConnectionManager manager = resource.unpack(Listener.class)
                    .getApiListener()
                    .getApiListener()
                    .unpack(HttpConnectionManager.class);
            RateLimitQuotaFilterConfig found = findQuotaFilter(manager);
            if (found == null) {
                // Listeners without a quota filter are for proxyless gRPC clients.
                continue;
            }
            if (!found.equals(quotaFilter)) {
                quotaFilter = found;
                routeTable = routeConfiguration == null ? null : new RouteTable(routeConfiguration, quotaFilter);
                changeListener.quotaFilterChanged();
            }
            changeListener.subscriptionChanged(
                    ResourceType.ROUTES, List.of(manager.getRds().getRouteConfigName()));
        }
    }

    /** The last quota filter of a listener, or null. */
    private static RateLimitQuotaFilterConfig findQuotaFilter(HttpConnectionManager manager)
            throws InvalidProtocolBufferException {
        RateLimitQuotaFilterConfig found = null;
        for (HttpFilter filter : manager.getHttpFiltersList()) {
            if (filter.getTypedConfig().is(RateLimitQuotaFilterConfig.class)) {
                found = filter.getTypedConfig().unpack(RateLimitQuotaFilterConfig.class);
            }
        }
        return found;
    }

    private void applyRoutes(Collection<Any> resources)
            throws InvalidProtocolBufferException, InvalidResourceException {
        for (Any resource : resources) {
            RouteConfiguration configuration = resource.unpack(RouteConfiguration.class);
            routeTable = new RouteTable(configuration, quotaFilter);
            routeConfiguration = configuration;
        }
    }

    private void applyClusters(Collection<Any> resources) throws InvalidProtocolBufferException {
        for (Any resource : resources) {
            Cluster cluster = resource.unpack(Cluster.class);
            pools.computeIfAbsent(cluster.getName(), name -> new EndpointPool(name, MonotonicClock.nowMs()))
                    .applyCluster(cluster);
        }
        applyAssignments(endpointAssignments.values());
        List<String> serviceNames = pools.values().stream()
                .map(EndpointPool::serviceName)
                .distinct()
                .toList();
        changeListener.subscriptionChanged(ResourceType.ENDPOINTS, serviceNames);
    }

    /** Applies each assignment to the pools that use it; several clusters may share one. */
    private void applyAssignments(Collection<Any> resources) throws InvalidProtocolBufferException {
        for (Any resource : resources) {
            ClusterLoadAssignment assignment = resource.unpack(ClusterLoadAssignment.class);
            pools.values().stream()
                    .filter(pool -> pool.serviceName().equals(assignment.getClusterName()))
                    .forEach(pool -> pool.applyAssignment(assignment));
        }
    }
}
