package stonelb.control.xds;

import java.util.HashMap;
import java.util.Map;

/**
 * The resource types that are served, in the order in which they are sent: clusters and endpoints before the listeners
 * and routes that name them (make before break).
 */
public enum ResourceType {
    /** Clusters (CDS). */
    CLUSTER("type.googleapis.com/envoy.config.cluster.v3.Cluster", true),
    /** Endpoints of a cluster (EDS). */
    ENDPOINTS("type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment", false),
    /** Listeners (LDS). */
    LISTENER("type.googleapis.com/envoy.config.listener.v3.Listener", true),
    /** Route configurations (RDS). */
    ROUTES("type.googleapis.com/envoy.config.route.v3.RouteConfiguration", false);

    private static final Map<String, ResourceType> BY_TYPE_URL = new HashMap<>();

    static {
        for (ResourceType type : values()) {
            BY_TYPE_URL.put(type.typeUrl, type);
        }
    }

    private final String typeUrl;
    private final boolean wildcardByDefault;

    ResourceType(String typeUrl, boolean wildcardByDefault) {
        this.typeUrl = typeUrl;
        this.wildcardByDefault = wildcardByDefault;
    }

    /** The type with this URL, or null if it is not served. */
    public static ResourceType forTypeUrl(String typeUrl) {
        return BY_TYPE_URL.get(typeUrl);
    }

    /** The type URL in requests and responses. */
    public String typeUrl() {
        return typeUrl;
    }

    /** Whether a first request without names subscribes to all resources (xDS protocol, "wildcard"). */
    boolean isWildcardByDefault() {
        return wildcardByDefault;
    }
}
