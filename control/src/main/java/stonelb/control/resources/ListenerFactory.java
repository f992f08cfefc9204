package stonelb.control.resources;

import com.google.protobuf.Any;
import com.google.protobuf.Message;
import io.envoyproxy.envoy.config.listener.v3.ApiListener;
import io.envoyproxy.envoy.config.listener.v3.Listener;
import io.envoyproxy.envoy.extensions.filters.http.router.v3.Router;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.HttpFilter;
import io.envoyproxy.envoy.extensions.filters.network.http_connection_manager.v3.Rds;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Creates the listener for proxies, with the quota filter, and the one for proxyless gRPC clients if configured. */
final class ListenerFactory {
    private static final String ROUTER_FILTER = "envoy.filters.http.router";
    private static final String STAT_PREFIX = "stonelb";

    private final QuotaFilterFactory quotaFilters;
    private final String grpcListener;

    /**
     * Creates the factory.
     *
     * @param grpcListener the name of the listener for proxyless gRPC clients, or null for none
     */
    ListenerFactory(QuotaFilterFactory quotaFilters, String grpcListener) {
        this.quotaFilters = quotaFilters;
        this.grpcListener = grpcListener;
    }

    Map<String, Message> listeners(String node) {
        Map<String, Message> listeners = new TreeMap<>();
        HttpFilter quota = HttpFilter.newBuilder()
                .setName(ResourceFactory.QUOTA_FILTER)
                .setTypedConfig(Any.pack(quotaFilters.filter(node)))
                .build();
        listeners.put(
                ResourceFactory.LISTENER, listener(ResourceFactory.LISTENER, ResourceFactory.ROUTES, List.of(quota)));
        if (grpcListener != null) {
            listeners.put(grpcListener, listener(grpcListener, ResourceFactory.GRPC_ROUTES, List.of()));
        }
        return listeners;
    }

    private static Listener listener(String name, String routes, List<HttpFilter> filters) {
        HttpConnectionManager manager = HttpConnectionManager.newBuilder()
                .setStatPrefix(STAT_PREFIX)
                .setRds(Rds.newBuilder().setRouteConfigName(routes).setConfigSource(ConfigSources.aggregated()))
                .addAllHttpFilters(filters)
                .addHttpFilters(HttpFilter.newBuilder()
                        .setName(ROUTER_FILTER)
                        .setTypedConfig(Any.pack(Router.getDefaultInstance())))
                .build();
        return Listener.newBuilder()
                .setName(name)
                .setApiListener(ApiListener.newBuilder().setApiListener(Any.pack(manager)))
                .build();
    }
}
