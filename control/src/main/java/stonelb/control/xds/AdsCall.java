package stonelb.control.xds;

import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.grpc.ForwardingServerCall;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.Status;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The gRPC call of one ADS stream: verifies the node and the requests, passes valid requests to the discovery server,
 * and records its responses.
 */
final class AdsCall<RequestT, ResponseT> extends ForwardingServerCall.SimpleForwardingServerCall<RequestT, ResponseT> {
    private static final Logger LOG = LoggerFactory.getLogger(AdsCall.class);
    private static final int MAX_UNSUPPORTED_TYPES = 32;

    /** Receives the events of a call. */
    interface CallListener {

        /** The first request named the node; its resources have to be published before this returns. */
        void nodeIdentified(Node node);

        /** The peer's certificate does not name the node. */
        void permissionDenied();

        /** The call has ended. Called once. */
        void released(AdsCall<?, ?> call);
    }

    private final AdsStream stream;
    private final AdsConfigWatcher watcher;
    private final int maxNames;
    private final DoubleSupplier clock;
    private final CallListener callListener;
    private final RequestProcessor processor;
    private final Set<String> unsupportedTypes = new LinkedHashSet<>();
    private Node node; // null until the first request
    private boolean ended;

    AdsCall(
            ServerCall<RequestT, ResponseT> call,
            AdsStream stream,
            AdsConfigWatcher watcher,
            int maxNames,
            DoubleSupplier clock,
            CallListener callListener) {
        super(call);
        this.stream = stream;
        this.watcher = watcher;
        this.maxNames = maxNames;
        this.clock = clock;
        this.callListener = callListener;
        processor = new RequestProcessor(stream);
    }

    AdsStream stream() {
        return stream;
    }

    /** Ends the call with a status, unless it has ended. */
    void end(Status status) {
        if (!ended) {
            release();
            delegate().close(status, new Metadata());
        }
    }

    /** Releases the stream, unless the call has ended. */
    void release() {
        if (!ended) {
            ended = true;
            callListener.released(this);
        }
    }

    @Override
    public void close(Status status, Metadata trailers) {
        if (!ended) {
            release();
            super.close(status, trailers);
        }
    }

    @Override
    public void sendMessage(ResponseT message) {
        if (ended) {
            return;
        }
        double now = clock.getAsDouble();
        if (message instanceof DiscoveryResponse response) {
            stream.responseSent(
                    ResourceType.forTypeUrl(response.getTypeUrl()),
                    response.getNonce(),
                    response.getVersionInfo(),
                    response.getSerializedSize(),
                    now);
        } else if (message instanceof DeltaDiscoveryResponse response) {
            stream.responseSent(
                    ResourceType.forTypeUrl(response.getTypeUrl()),
                    response.getNonce(),
                    response.getSystemVersionInfo(),
                    response.getSerializedSize(),
                    now);
        }
        super.sendMessage(message);
    }

    /** Handles a request: passes it to the discovery server, drops it, or ends the call. */
    void receive(RequestT request, ServerCall.Listener<RequestT> server) {
        if (ended) {
            return;
        }
        RequestHeader header = RequestHeader.of(request);
        if (!checkNode(header.node())) {
            return;
        }
        ResourceType type = ResourceType.forTypeUrl(header.typeUrl());
        if (type == null) {
            receiveUnsupported(header.typeUrl());
            return;
        }
        // The processor returns a request of the same class.
        @SuppressWarnings("unchecked")
        RequestT processed = (RequestT) processor.process(type, request, node);
        if (processed == null) {
            request(1);
            return;
        }
        if (stream.state(type).subscription().size() > maxNames) {
            end(Status.RESOURCE_EXHAUSTED.withDescription("more than " + maxNames + " names of a type"));
            return;
        }
        forward(processed, server);
    }

    private void forward(RequestT request, ServerCall.Listener<RequestT> server) {
        watcher.setCurrentStream(stream);
        try {
            server.onMessage(request);
        } finally {
            watcher.setCurrentStream(null);
        }
        stream.requestHandled();
    }

    /** Ignores a request for a type that is not served, as the protocol requires; too many of them end the call. */
    private void receiveUnsupported(String typeUrl) {
        if (unsupportedTypes.add(typeUrl) && unsupportedTypes.size() <= MAX_UNSUPPORTED_TYPES) {
            LOG.info("node {} requested the unsupported resource type '{}'", node.getId(), typeUrl);
        }
        if (typeUrl.isEmpty()) {
            end(Status.INVALID_ARGUMENT.withDescription("a request names no type"));
        } else if (unsupportedTypes.size() > MAX_UNSUPPORTED_TYPES) {
            end(Status.INVALID_ARGUMENT.withDescription("requests name too many types"));
        } else {
            request(1);
        }
    }

    /** Sets the node from the first request and checks that later ones name no other; false if the call was ended. */
    private boolean checkNode(Node requested) {
        if (node == null) {
            return acceptNode(requested);
        }
        String id = requested.getId();
        if (!id.isEmpty() && !id.equals(node.getId())) {
            end(Status.PERMISSION_DENIED.withDescription("a stream speaks for one node"));
            return false;
        }
        return true;
    }

    private boolean acceptNode(Node requested) {
        String id = requested.getId();
        if (id.isEmpty()) {
            end(Status.INVALID_ARGUMENT.withDescription("the first request names no node"));
            return false;
        }
        if (!ProxyIdentity.isAuthorizedFor(getAttributes(), id)) {
            callListener.permissionDenied();
            LOG.warn("permission denied: the certificate of a peer does not name node {}", id);
            end(Status.PERMISSION_DENIED.withDescription("the certificate does not name this node"));
            return false;
        }
        node = requested;
        stream.setNode(id);
        callListener.nodeIdentified(requested);
        return true;
    }
}
