package stonelb.control.xds;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** All resources of one proxy, by type and name. Immutable. */
public final class ResourceSet {
    /** No resources. */
    public static final ResourceSet EMPTY = new ResourceSet(new EnumMap<>(ResourceType.class));

    private final Map<ResourceType, Map<String, VersionedMessage>> byType;

    private ResourceSet(Map<ResourceType, Map<String, VersionedMessage>> byType) {
        this.byType = byType;
    }

    /** The resources of a type, by name. */
    public Map<String, VersionedMessage> get(ResourceType type) {
        return byType.getOrDefault(type, Map.of());
    }

    /** A copy with the resources of one type replaced. The map is not copied and must not change. */
    public ResourceSet with(ResourceType type, Map<String, VersionedMessage> resources) {
        Map<ResourceType, Map<String, VersionedMessage>> copy = new EnumMap<>(ResourceType.class);
        copy.putAll(byType);
        copy.put(type, resources);
        return new ResourceSet(copy);
    }

    /**
     * This set, plus the clusters and endpoints of an older one that it does not contain: routes that a proxy still
     * uses may name them until it has accepted the new routes.
     */
    ResourceSet retaining(ResourceSet older) {
        return retaining(ResourceType.CLUSTER, older).retaining(ResourceType.ENDPOINTS, older);
    }

    private ResourceSet retaining(ResourceType type, ResourceSet older) {
        if (get(type).keySet().containsAll(older.get(type).keySet())) {
            return this;
        }
        Map<String, VersionedMessage> merged = new TreeMap<>(older.get(type));
        merged.putAll(get(type));
        return with(type, merged);
    }
}
