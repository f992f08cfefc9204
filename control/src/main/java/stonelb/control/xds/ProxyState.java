package stonelb.control.xds;

import java.util.ArrayList;
import java.util.List;

/** The resources of one proxy and its open streams. */
final class ProxyState {
    private final String node;
    private final List<AdsStream> streams = new ArrayList<>();
    private ResourceSet published = ResourceSet.EMPTY;
    private ResourceSet served = ResourceSet.EMPTY; // published, and resources that routes in use may still name

    ProxyState(String node) {
        this.node = node;
    }

    String node() {
        return node;
    }

    /** The open streams, as a live list. */
    List<AdsStream> streams() {
        return streams;
    }

    /** The resources last published for the proxy. */
    ResourceSet published() {
        return published;
    }

    /** The resources served to its streams. */
    ResourceSet served() {
        return served;
    }

    /** Replaces the resources; clusters and endpoints that older routes may name are still served. */
    void replace(ResourceSet resources) {
        published = resources;
        served = resources.retaining(served);
    }

    /** Whether resources are served that only older routes may name. */
    boolean retainsResources() {
        return served != published;
    }

    void dropRetainedResources() {
        served = published;
    }
}
