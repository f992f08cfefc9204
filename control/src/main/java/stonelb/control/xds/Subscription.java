package stonelb.control.xds;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The subscription of one stream to one resource type, and the versions sent to it. This state of the xDS protocol
 * determines whether there is anything to send. It does no I/O and supports the state-of-the-world and the incremental
 * variant.
 *
 * <p>A resource counts as sent even if the proxy rejects it (NACK): the same content is not sent again, but changed
 * content is. Source: the xDS REST and gRPC protocol, sections on ACK and NACK, on subscribing to resources, and
 * on the incremental variants.
 */
final class Subscription {
    private static final String WILDCARD = "*";
    private static final long VERSION_SEED = 1125899906842597L;

    private final ResourceType type;
    private final Set<String> names = new HashSet<>();
    private final Set<String> newlyRequested = new TreeSet<>(); // requested by name since the last update
    private final Map<String, String> sentVersions = new TreeMap<>();
    private boolean wildcard;
    private boolean requestReceived;
    private boolean hasNamedResources; // once set, an empty list no longer means a wildcard
    private String claimedVersion = ""; // the version that the proxy has from an earlier stream

    Subscription(ResourceType type) {
        this.type = type;
    }

    /**
     * Handles a state-of-the-world request that is not stale. An empty list means all until names were requested once.
     */
    void requestReceived(Collection<String> requested, String version) {
        if (!requestReceived) {
            claimedVersion = version;
        }
        requestReceived = true;
        hasNamedResources |= !requested.isEmpty();
        boolean wasWildcard = wildcard;
        wildcard = requested.contains(WILDCARD) || (!hasNamedResources && type.isWildcardByDefault());
        Set<String> current = new HashSet<>(requested);
        current.remove(WILDCARD);
        for (String name : current) {
            if (!wasWildcard && !names.contains(name)) {
                sentVersions.remove(name); // the proxy does not have a resource that it newly subscribes to
            }
        }
        names.clear();
        names.addAll(current);
    }

    /** Handles an incremental request; the initial versions are those that a reconnecting proxy still has. */
    void requestReceived(
            Collection<String> subscribe, Collection<String> unsubscribe, Map<String, String> initialVersions) {
        if (!requestReceived) {
            sentVersions.putAll(initialVersions);
            wildcard = type.isWildcardByDefault() && subscribe.isEmpty();
        }
        unsubscribe.forEach(this::unsubscribe);
        for (String name : subscribe) {
            boolean isHeld = !requestReceived && initialVersions.containsKey(name);
            subscribe(name, isHeld);
        }
        requestReceived = true;
    }

    private void unsubscribe(String name) {
        if (name.equals(WILDCARD)) {
            wildcard = false;
            sentVersions.keySet().retainAll(names);
            return;
        }
        names.remove(name);
        newlyRequested.remove(name);
        if (!wildcard) {
            sentVersions.remove(name);
        }
    }

    /** A name that is subscribed to again was dropped by the proxy and has to be resent, unless the proxy has it. */
    private void subscribe(String name, boolean isHeld) {
        if (name.equals(WILDCARD)) {
            wildcard = true;
            return;
        }
        names.add(name);
        if (!isHeld) {
            newlyRequested.add(name);
        }
    }

    /** The number of subscribed names. */
    int size() {
        return names.size();
    }

    boolean isWildcard() {
        return wildcard;
    }

    private Map<String, VersionedMessage> subscribed(Map<String, VersionedMessage> resources) {
        if (wildcard) {
            return resources;
        }
        Map<String, VersionedMessage> subscribed = new LinkedHashMap<>();
        for (String name : new TreeSet<>(names)) {
            VersionedMessage resource = resources.get(name);
            if (resource != null) {
                subscribed.put(name, resource);
            }
        }
        return subscribed;
    }

    /** The version of the subscribed resources as a whole: a hash of their names and versions. */
    String version(Map<String, VersionedMessage> resources) {
        long hash = VERSION_SEED;
        for (Map.Entry<String, VersionedMessage> entry : subscribed(resources).entrySet()) {
            hash = 31 * hash + entry.getKey().hashCode();
            hash = 31 * hash + entry.getValue().version().hashCode();
        }
        return Long.toHexString(hash);
    }

    /**
     * The state-of-the-world update: all subscribed resources if any of them changed, otherwise null. A name that does
     * not exist yet is left out and sent once it exists, without delaying the others.
     *
     * @param resend whether to send unchanged resources too: after clusters a proxy waits for their endpoints
     */
    ResourceUpdate stateOfTheWorldUpdate(Map<String, VersionedMessage> resources, boolean resend) {
        Map<String, VersionedMessage> subscribed = subscribed(resources);
        boolean isEmptyFirstUpdate = requestReceived
                && wildcard
                && sentVersions.isEmpty()
                && subscribed.isEmpty()
                && claimedVersion.isEmpty();
        if (!claimedVersion.isEmpty() && claimedVersion.equals(version(resources))) {
            recordSent(subscribed); // the proxy has all of it from an earlier stream
        }
        boolean resendAny = resend && !subscribed.isEmpty();
        if (!isEmptyFirstUpdate && !resendAny && !differsFromSent(subscribed)) {
            return null;
        }
        claimedVersion = isEmptyFirstUpdate ? version(resources) : "";
        sentVersions.clear();
        recordSent(subscribed);
        return new ResourceUpdate(subscribed, List.of());
    }

    /** Whether a resource is new or changed or, for a wildcard, one that was sent no longer exists. */
    private boolean differsFromSent(Map<String, VersionedMessage> subscribed) {
        for (Map.Entry<String, VersionedMessage> entry : subscribed.entrySet()) {
            if (!entry.getValue().version().equals(sentVersions.get(entry.getKey()))) {
                return true;
            }
        }
        return wildcard && !subscribed.keySet().containsAll(sentVersions.keySet());
    }

    private void recordSent(Map<String, VersionedMessage> resources) {
        resources.forEach((name, resource) -> sentVersions.put(name, resource.version()));
    }

    /**
     * The incremental update: changed resources, removed ones, and requested names that do not exist; null if empty.
     *
     * @param resend as for {@link #stateOfTheWorldUpdate}
     */
    ResourceUpdate incrementalUpdate(Map<String, VersionedMessage> resources, boolean resend) {
        Map<String, VersionedMessage> changed = new LinkedHashMap<>();
        subscribed(resources).forEach((name, resource) -> {
            boolean isNew = !resource.version().equals(sentVersions.get(name));
            if (resend || isNew || newlyRequested.contains(name)) {
                changed.put(name, resource);
            }
        });
        Set<String> removed = missing(resources);
        newlyRequested.clear();
        sentVersions.keySet().removeAll(removed);
        recordSent(changed);
        return changed.isEmpty() && removed.isEmpty() ? null : new ResourceUpdate(changed, List.copyOf(removed));
    }

    /** Names that were requested or sent and do not exist. */
    private Set<String> missing(Map<String, VersionedMessage> resources) {
        Set<String> missing = new TreeSet<>();
        for (String name : newlyRequested) {
            if (!resources.containsKey(name)) {
                missing.add(name);
            }
        }
        for (String name : sentVersions.keySet()) {
            if (!resources.containsKey(name) && (wildcard || names.contains(name))) {
                missing.add(name);
            }
        }
        return missing;
    }
}
