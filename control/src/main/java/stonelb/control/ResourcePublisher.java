package stonelb.control;

import com.google.protobuf.Message;
import java.util.Map;
import java.util.TreeMap;
import stonelb.control.resources.ResourceFactory;
import stonelb.control.xds.ProxyStreams;
import stonelb.control.xds.ResourceSet;
import stonelb.control.xds.ResourceType;
import stonelb.control.xds.VersionedMessage;
import stonelb.description.Routes;

/** Builds the resources of a proxy and publishes those whose content has changed. */
final class ResourcePublisher {
    /** Fraction by which a slot limit has to change before clusters are published again. */
    private static final double SLOT_CHANGE_THRESHOLD = 0.2;

    private final ResourceFactory factory;
    private final ProxyStreams streams;
    private final EndpointDirectory directory;
    private Routes routes;
    private Map<String, VersionedMessage> routeResources = Map.of(); // shared by all proxies; empty until built

    ResourcePublisher(ResourceFactory factory, ProxyStreams streams, EndpointDirectory directory) {
        this.factory = factory;
        this.streams = streams;
        this.directory = directory;
    }

    /** Sets the routes for subsequent calls of {@code publish}. */
    void setRoutes(Routes routes) {
        this.routes = routes;
        routeResources = Map.of();
    }

    /** Publishes the resources of a proxy if any has changed. */
    void publish(RegisteredProxy proxy) {
        String node = proxy.node();
        ResourceSet published = streams.published(node);
        ResourceSet next = withListeners(published, node);
        next = withRoutes(next, proxy);
        next = withClusters(next, proxy);
        next = withEndpoints(next, proxy);
        if (next != published) {
            streams.publish(node, next);
        }
    }

    private ResourceSet withListeners(ResourceSet resources, String node) {
        if (!resources.get(ResourceType.LISTENER).isEmpty()) {
            return resources;
        }
        return resources.with(ResourceType.LISTENER, versioned(factory.listeners(node)));
    }

    private ResourceSet withRoutes(ResourceSet resources, RegisteredProxy proxy) {
        if (routeResources.isEmpty()) {
            routeResources = versioned(factory.routes(routes, proxy.quota()::tierOf));
        }
        if (resources.get(ResourceType.ROUTES) == routeResources) {
            return resources;
        }
        return resources.with(ResourceType.ROUTES, routeResources);
    }

    private ResourceSet withClusters(ResourceSet resources, RegisteredProxy proxy) {
        int[] limits = proxy.quota().slotLimits();
        if (!slotsChanged(proxy.publishedSlots(), limits)) {
            return resources;
        }
        proxy.setPublishedSlots(limits);
        return resources.with(ResourceType.CLUSTER, versioned(factory.clusters(limits)));
    }

    private ResourceSet withEndpoints(ResourceSet resources, RegisteredProxy proxy) {
        Map<String, VersionedMessage> endpoints =
                versioned(factory.endpoints(directory.resources(proxy.quota().weights())));
        if (endpoints.equals(resources.get(ResourceType.ENDPOINTS))) {
            return resources;
        }
        return resources.with(ResourceType.ENDPOINTS, endpoints);
    }

    /**
     * Whether slot limits differ enough to publish them: small changes are not worth an update of the circuit breakers.
     */
    private static boolean slotsChanged(int[] published, int[] current) {
        if (published.length != current.length) {
            return true;
        }
        for (int tier = 0; tier < current.length; tier++) {
            if (Math.abs(current[tier] - published[tier]) > SLOT_CHANGE_THRESHOLD * published[tier]) {
                return true;
            }
        }
        return false;
    }

    private static Map<String, VersionedMessage> versioned(Map<String, Message> messages) {
        Map<String, VersionedMessage> resources = new TreeMap<>();
        messages.forEach((name, message) -> resources.put(name, VersionedMessage.of(message)));
        return resources;
    }
}
