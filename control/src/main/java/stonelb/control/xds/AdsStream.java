package stonelb.control.xds;

import io.envoyproxy.controlplane.cache.DeltaResponse;
import io.envoyproxy.controlplane.cache.DeltaXdsRequest;
import io.envoyproxy.controlplane.cache.Response;
import io.envoyproxy.controlplane.cache.VersionedResource;
import io.envoyproxy.controlplane.cache.XdsRequest;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** One ADS stream of a proxy, with the state of each resource type that it has requested. */
final class AdsStream {

    /** Computes the update for one variant of the protocol, or null if there is nothing to send. */
    private interface UpdateFunction {
        ResourceUpdate updateFor(Subscription subscription, Map<String, VersionedMessage> resources, boolean resend);
    }

    private final ProxyStreams streams;
    private final boolean incremental;
    private final String peer;
    private final Map<ResourceType, ResourceTypeState> states = new EnumMap<>(ResourceType.class);
    private ProxyState proxy; // null until the first request names the node

    AdsStream(ProxyStreams streams, boolean incremental, String peer) {
        this.streams = streams;
        this.incremental = incremental;
        this.peer = peer;
    }

    /** Sets the node that the first request names, and registers the stream for it. */
    void setNode(String node) {
        proxy = streams.stateOf(node);
        streams.add(this);
    }

    /** The node of the stream, or null before the first request. */
    String node() {
        return proxy == null ? null : proxy.node();
    }

    /** The state of a type, created at its first use. */
    ResourceTypeState state(ResourceType type) {
        return states.computeIfAbsent(type, ResourceTypeState::new);
    }

    boolean hasOutstandingResponse(ResourceType type) {
        ResourceTypeState state = states.get(type);
        return state != null && state.hasOutstandingResponse();
    }

    /** How long the oldest outstanding response has been without ACK or NACK, in ms. */
    double stalledMs(double now) {
        return states.values().stream()
                .filter(ResourceTypeState::hasOutstandingResponse)
                .mapToDouble(state -> state.outstandingMs(now))
                .max()
                .orElse(0);
    }

    /** Responds to the pending request of a type, if there is one and there is something to send. */
    void respond(ResourceType type) {
        ResourceTypeState state = states.get(type);
        if (state != null && state.watch() != null) {
            state.watch().run();
        }
    }

    /** Responds to a state-of-the-world request, now or once there is something to send. */
    void watch(XdsRequest request, Consumer<Response> responses) {
        watch(
                ResourceType.forTypeUrl(request.getTypeUrl()),
                Subscription::stateOfTheWorldUpdate,
                (update, version) -> responses.accept(Response.create(
                        request,
                        update.resources().values().stream()
                                .map(VersionedMessage::message)
                                .toList(),
                        version)));
    }

    /** Responds to an incremental request, now or once there is something to send. */
    void watch(DeltaXdsRequest request, Consumer<DeltaResponse> responses) {
        watch(
                ResourceType.forTypeUrl(request.getTypeUrl()),
                Subscription::incrementalUpdate,
                (update, version) -> responses.accept(
                        DeltaResponse.create(request, versionedResources(update), update.removed(), version)));
    }

    private static Map<String, VersionedResource<?>> versionedResources(ResourceUpdate update) {
        Map<String, VersionedResource<?>> resources = new LinkedHashMap<>();
        update.resources()
                .forEach((name, resource) ->
                        resources.put(name, VersionedResource.create(resource.message(), resource.version())));
        return resources;
    }

    private void watch(ResourceType type, UpdateFunction updates, BiConsumer<ResourceUpdate, String> responses) {
        ResourceTypeState state = state(type);
        Runnable watch = () -> {
            Map<String, VersionedMessage> resources = proxy.served().get(type);
            ResourceUpdate update = updates.updateFor(state.subscription(), resources, state.isResendRequired());
            if (update != null) {
                state.completeWatch();
                responses.accept(update, state.subscription().version(resources));
            }
        };
        state.setWatch(watch);
        watch.run();
    }

    /** The pending watch of a type, or null. */
    Runnable pendingWatch(ResourceType type) {
        return state(type).watch();
    }

    /** Cancels a watch if it is still pending. */
    void cancelWatch(ResourceType type, Runnable watch) {
        ResourceTypeState state = states.get(type);
        if (state != null && state.watch() == watch) {
            state.setWatch(null);
        }
    }

    /** Records a response. After clusters a proxy waits for their endpoints, even if those have not changed. */
    void responseSent(ResourceType type, String nonce, String version, int bytes, double now) {
        state(type).responseSent(nonce, version, bytes, now);
        if (type == ResourceType.CLUSTER) {
            state(ResourceType.ENDPOINTS).requireResend();
        }
    }

    /**
     * Called once a request is handled and its watch created: drops resources retained for older routes if possible.
     */
    void requestHandled() {
        if (proxy != null) {
            streams.releaseRetained(proxy);
        }
    }

    void close() {
        states.clear();
        streams.remove(this);
    }

    StreamStatus status() {
        Map<String, SubscriptionStatus> subscriptions = new TreeMap<>();
        states.forEach((type, state) -> subscriptions.put(type.name().toLowerCase(Locale.ROOT), state.status()));
        return new StreamStatus(incremental, peer, subscriptions);
    }
}
