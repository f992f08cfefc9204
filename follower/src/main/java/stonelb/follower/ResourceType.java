package stonelb.follower;

import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.listener.v3.Listener;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;

/** The types of xDS resources that a proxy subscribes to, in the order in which it requests them. */
enum ResourceType {
    CLUSTER("envoy.config.cluster.v3.Cluster"),
    ENDPOINTS("envoy.config.endpoint.v3.ClusterLoadAssignment"),
    LISTENER("envoy.config.listener.v3.Listener"),
    ROUTES("envoy.config.route.v3.RouteConfiguration");

    private final String typeUrl;
    private final String simpleName;

    ResourceType(String messageName) {
        typeUrl = "type.googleapis.com/" + messageName;
        simpleName = messageName.substring(messageName.lastIndexOf('.') + 1);
    }

    String typeUrl() {
        return typeUrl;
    }

    /** The name of the message type without its package. */
    String simpleName() {
        return simpleName;
    }

    /** Whether the subscription covers all resources of the type without naming them. */
    boolean isWildcard() {
        return this == CLUSTER || this == LISTENER;
    }

    /**
     * Finds the type with the given type URL.
     *
     * @throws IllegalArgumentException if there is no such type
     */
    static ResourceType of(String typeUrl) {
        for (ResourceType type : values()) {
            if (type.typeUrl.equals(typeUrl)) {
                return type;
            }
        }
        throw new IllegalArgumentException("no subscription to " + typeUrl);
    }

    /**
     * Reads the name of a resource, since state-of-the-world responses do not list names separately.
     *
     * @return the name, or the empty string if the resource is of another type or can't be read
     */
    static String nameOf(Any resource) {
        try {
            if (resource.is(Cluster.class)) {
                return resource.unpack(Cluster.class).getName();
            }
            if (resource.is(ClusterLoadAssignment.class)) {
                return resource.unpack(ClusterLoadAssignment.class).getClusterName();
            }
            if (resource.is(Listener.class)) {
                return resource.unpack(Listener.class).getName();
            }
            if (resource.is(RouteConfiguration.class)) {
                return resource.unpack(RouteConfiguration.class).getName();
            }
            return "";
        } catch (InvalidProtocolBufferException e) {
            return "";
        }
    }
}
