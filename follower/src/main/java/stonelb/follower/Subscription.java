package stonelb.follower;

import com.google.protobuf.Any;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The subscription to one resource type: the subscribed names and the last accepted resources. */
final class Subscription {
    private final Set<String> names = new TreeSet<>();
    private final Map<String, Any> resources = new TreeMap<>();
    private final Map<String, String> resourceVersions = new TreeMap<>();
    private String version = "";
    private String nonce = "";
    private boolean requestedOnStream;

    /** Subscribed names; empty for a wildcard subscription. */
    Set<String> names() {
        return names;
    }

    /** Accepted resources by name. */
    Map<String, Any> resources() {
        return resources;
    }

    /** Versions of the accepted resources by name; set only by the incremental variant. */
    Map<String, String> resourceVersions() {
        return resourceVersions;
    }

    /** Version of the accepted set of resources; empty string before the first. */
    String version() {
        return version;
    }

    /** Nonce of the response that the next request acknowledges or rejects; empty string if it does neither. */
    String nonce() {
        return nonce;
    }

    void setNonce(String responseNonce) {
        nonce = responseNonce;
    }

    /** Whether a request for the type has been sent on the current stream. */
    boolean isRequestedOnStream() {
        return requestedOnStream;
    }

    void requestSent() {
        requestedOnStream = true;
    }

    /** Clears the state of the previous stream; names and accepted resources stay. */
    void streamOpened() {
        nonce = "";
        requestedOnStream = false;
    }

    /** Replaces the names and drops the resources of the {@code removed} ones. */
    void replaceNames(Collection<String> newNames, Set<String> removed) {
        names.clear();
        names.addAll(newNames);
        resources.keySet().removeAll(removed);
        resourceVersions.keySet().removeAll(removed);
    }

    /** Replaces the accepted resources. */
    void accept(String newVersion, Map<String, Any> newResources) {
        version = newVersion;
        resources.clear();
        resources.putAll(newResources);
    }
}
