package stonelb.follower;

import com.google.protobuf.Any;
import com.google.rpc.Code;
import com.google.rpc.Status;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc;
import io.grpc.Channel;
import io.grpc.stub.StreamObserver;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The client side of ADS ({@code envoy.service.discovery.v3}): subscribes to resources, acknowledges or rejects them,
 * and reconnects after a failure, keeping the accepted resources.
 */
final class AdsSession {
    private static final String NODE_CLUSTER = "stonelb";

    /** Applies the resources of a type. If it throws, the previously accepted resources stay in use. */
    @FunctionalInterface
    interface ResourceListener {
        void onResources(ResourceType type, Map<String, Any> resources) throws InvalidResourceException;
    }

    /** Runs a task on the client's executor after a delay in milliseconds. */
    @FunctionalInterface
    interface Scheduler {
        void schedule(Runnable task, double delayMs);
    }

    private final Channel channel;
    private final AdsVariant variant;
    private final Scheduler scheduler;
    private final ReconnectBackoff backoff;
    private final ResourceListener resourceListener;
    private final Map<ResourceType, Subscription> subscriptions = new EnumMap<>(ResourceType.class);

    /** Identifies the current stream, so that events of earlier ones are ignored; null while there is none. */
    private Object currentStream;

    private boolean connected;

    AdsSession(
            Channel channel,
            AdsVariant variant,
            Scheduler scheduler,
            ReconnectBackoff backoff,
            ResourceListener resourceListener) {
        this.channel = channel;
        this.variant = variant;
        this.scheduler = scheduler;
        this.backoff = backoff;
        this.resourceListener = resourceListener;
        for (ResourceType type : ResourceType.values()) {
            subscriptions.put(type, new Subscription());
        }
    }

    /** Whether the current stream has responded. */
    boolean isConnected() {
        return connected;
    }

    /** Versions of the accepted resources by the simple name of their type. */
    Map<String, String> versions() {
        Map<String, String> versions = new HashMap<>();
        subscriptions.forEach((type, subscription) -> versions.put(type.simpleName(), subscription.version()));
        return versions;
    }

    Subscription subscription(ResourceType type) {
        return subscriptions.get(type);
    }

    /** Opens a stream and sends a request for each subscription. */
    void connect() {
        currentStream = new Object();
        subscriptions.values().forEach(Subscription::streamOpened);
        variant.open(AggregatedDiscoveryServiceGrpc.newStub(channel), this);
        subscriptions.forEach((type, subscription) -> {
            if (type.isWildcard() || !subscription.names().isEmpty()) {
                variant.sendRequest(type, subscription, subscription.names(), List.of(), null);
            }
        });
    }

    /** Replaces the subscribed names; does nothing if they are unchanged. */
    void subscribe(ResourceType type, Collection<String> names) {
        Subscription subscription = subscriptions.get(type);
        Set<String> added = new TreeSet<>(names);
        added.removeAll(subscription.names());
        Set<String> removed = new TreeSet<>(subscription.names());
        removed.removeAll(names);
        if (added.isEmpty() && removed.isEmpty()) {
            return;
        }
        subscription.replaceNames(names, removed);
        if (currentStream != null) {
            variant.sendRequest(type, subscription, added, removed, null);
        }
    }

    /**
     * Passes resources to the listener.
     *
     * @return null if they are accepted, else the reason for rejecting them
     */
    String applyResources(ResourceType type, Map<String, Any> resources) {
        try {
            resourceListener.onResources(type, resources);
            return null;
        } catch (InvalidResourceException e) {
            return e.getMessage();
        }
    }

    /** The node field of a request. Only the first request for a type on a stream carries the node. */
    static Node node(String nodeId, Subscription subscription) {
        if (subscription.isRequestedOnStream()) {
            return Node.getDefaultInstance();
        }
        return Node.newBuilder().setId(nodeId).setCluster(NODE_CLUSTER).build();
    }

    static Status errorDetail(String rejection) {
        return Status.newBuilder()
                .setCode(Code.INVALID_ARGUMENT_VALUE)
                .setMessage(rejection)
                .build();
    }

    /** Creates the response observer of the current stream. It ignores events once another stream is current. */
    <T> StreamObserver<T> observeCurrentStream(Consumer<T> responseHandler) {
        return new ResponseObserver<>(currentStream, responseHandler);
    }

    private final class ResponseObserver<T> implements StreamObserver<T> {
        private final Object stream;
        private final Consumer<T> responseHandler;

        ResponseObserver(Object stream, Consumer<T> responseHandler) {
            this.stream = stream;
            this.responseHandler = responseHandler;
        }

        @Override
        public void onNext(T response) {
            if (currentStream == stream) {
                connected = true;
                backoff.reset();
                responseHandler.accept(response);
            }
        }

        @Override
        public void onError(Throwable failure) {
            streamEnded();
        }

        @Override
        public void onCompleted() {
            streamEnded();
        }

        private void streamEnded() {
            if (currentStream == stream) {
                currentStream = null;
                connected = false;
                scheduler.schedule(AdsSession.this::connect, backoff.nextDelayMs());
            }
        }
    }
}
