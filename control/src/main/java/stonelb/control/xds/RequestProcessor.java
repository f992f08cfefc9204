package stonelb.control.xds;

import com.google.rpc.Status;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates a stream's state with the subscriptions, ACKs and NACKs of its requests, and converts the requests to the
 * form that the discovery server can process.
 */
final class RequestProcessor {
    private static final Logger LOG = LoggerFactory.getLogger(RequestProcessor.class);
    private static final int MAX_REASON_LENGTH = 400;

    private final AdsStream stream;

    RequestProcessor(AdsStream stream) {
        this.stream = stream;
    }

    /** The request as the discovery server should see it, or null if it is stale and has to be dropped. */
    Object process(ResourceType type, Object request, Node node) {
        if (request instanceof DiscoveryRequest stateOfTheWorld) {
            return process(type, stateOfTheWorld, node);
        }
        return process(type, (DeltaDiscoveryRequest) request, node);
    }

    private DiscoveryRequest process(ResourceType type, DiscoveryRequest request, Node node) {
        ResourceTypeState state = stream.state(type);
        if (state.hasOutstandingResponse()) {
            if (!state.isOutstanding(request.getResponseNonce())) {
                return null; // stale: it answers an older response, and a newer one was sent since
            }
            handleAckOrNack(type, state, request.hasErrorDetail(), request.getErrorDetail(), node);
        }
        state.subscription().requestReceived(request.getResourceNamesList(), request.getVersionInfo());
        return request.getNode().getId().isEmpty()
                ? request.toBuilder().setNode(node).build()
                : request;
    }

    private DeltaDiscoveryRequest process(ResourceType type, DeltaDiscoveryRequest request, Node node) {
        ResourceTypeState state = stream.state(type);
        state.subscription()
                .requestReceived(
                        request.getResourceNamesSubscribeList(),
                        request.getResourceNamesUnsubscribeList(),
                        request.getInitialResourceVersionsMap());
        DeltaDiscoveryRequest.Builder processed = request.toBuilder().setNode(node);
        String nonce = request.getResponseNonce();
        if (!nonce.isEmpty() && state.isOutstanding(nonce)) {
            handleAckOrNack(type, state, request.hasErrorDetail(), request.getErrorDetail(), node);
        } else {
            // The discovery server assumes that a nonce is its own; on any other it throws a NullPointerException.
            processed.clearResponseNonce().clearErrorDetail();
        }
        return processed.build();
    }

    private static void handleAckOrNack(
            ResourceType type, ResourceTypeState state, boolean isNack, Status error, Node node) {
        if (!isNack) {
            state.acknowledged();
            return;
        }
        String message = error.getMessage();
        String reason = message.length() > MAX_REASON_LENGTH ? message.substring(0, MAX_REASON_LENGTH) : message;
        LOG.warn("node {} rejected {}: {}", node.getId(), type, reason);
        state.rejected(reason.isEmpty() ? "no reason given" : reason);
    }
}
