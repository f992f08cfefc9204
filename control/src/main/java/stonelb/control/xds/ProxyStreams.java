package stonelb.control.xds;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The published resources of every proxy and the streams that receive them. Not thread-safe. */
public final class ProxyStreams {
    private final Map<String, ProxyState> proxies = new TreeMap<>();

    ProxyState stateOf(String node) {
        return proxies.computeIfAbsent(node, ProxyState::new);
    }

    /** Publishes resources: clusters and endpoints, then listeners and routes, then the removal of unused resources. */
    public void publish(String node, ResourceSet resources) {
        ProxyState proxy = stateOf(node);
        proxy.replace(resources);
        push(proxy);
        releaseRetained(proxy);
    }

    private static void push(ProxyState proxy) {
        for (ResourceType type : ResourceType.values()) {
            for (AdsStream stream : List.copyOf(proxy.streams())) {
                stream.respond(type);
            }
        }
    }

    /**
     * Drops resources that only older routes named, once no stream has an outstanding response of routes or listeners.
     */
    void releaseRetained(ProxyState proxy) {
        if (proxy.retainsResources() && proxy.streams().stream().noneMatch(ProxyStreams::awaitsRoutes)) {
            proxy.dropRetainedResources();
            push(proxy);
        }
    }

    private static boolean awaitsRoutes(AdsStream stream) {
        return stream.hasOutstandingResponse(ResourceType.ROUTES)
                || stream.hasOutstandingResponse(ResourceType.LISTENER);
    }

    /** The resources last published for a node, empty if there are none. */
    public ResourceSet published(String node) {
        return stateOf(node).published();
    }

    /** Whether the node has an open stream. */
    public boolean isConnected(String node) {
        ProxyState proxy = proxies.get(node);
        return proxy != null && !proxy.streams().isEmpty();
    }

    /** Removes a proxy that has no stream. */
    public void remove(String node) {
        if (!isConnected(node)) {
            proxies.remove(node);
        }
    }

    /** The status of each open stream of a node. */
    public List<StreamStatus> streamStatuses(String node) {
        ProxyState proxy = proxies.get(node);
        return proxy == null
                ? List.of()
                : proxy.streams().stream().map(AdsStream::status).toList();
    }

    void add(AdsStream stream) {
        stateOf(stream.node()).streams().add(stream);
    }

    /** Removes a closed stream; one that never named its node was never added. */
    void remove(AdsStream stream) {
        if (stream.node() != null) {
            ProxyState proxy = stateOf(stream.node());
            proxy.streams().remove(stream);
            releaseRetained(proxy);
        }
    }
}
