package stonelb.follower;

import com.google.protobuf.Any;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceStub;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.grpc.stub.StreamObserver;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state-of-the-world variant of ADS: each response carries all resources of its type. */
final class StateOfTheWorldVariant implements AdsVariant {
    private final String nodeId;
    private AdsSession session;
    private StreamObserver<DiscoveryRequest> requests;

    StateOfTheWorldVariant(String nodeId) {
        this.nodeId = nodeId;
    }

    @Override
    public void open(AggregatedDiscoveryServiceStub stub, AdsSession openingSession) {
        session = openingSession;
        requests = stub.streamAggregatedResources(session.observeCurrentStream(this::onResponse));
    }

    @Override
    public void sendRequest(
            ResourceType type,
            Subscription subscription,
            Collection<String> added,
            Collection<String> removed,
            String rejection) {
        DiscoveryRequest.Builder request = DiscoveryRequest.newBuilder()
                .setTypeUrl(type.typeUrl())
                .setNode(AdsSession.node(nodeId, subscription))
                .setVersionInfo(subscription.version())
                .setResponseNonce(subscription.nonce())
                .addAllResourceNames(subscription.names());
        if (rejection != null) {
            request.setErrorDetail(AdsSession.errorDetail(rejection));
        }
        subscription.requestSent();
        requests.onNext(request.build());
    }

    private void onResponse(DiscoveryResponse response) {
        ResourceType type = ResourceType.of(response.getTypeUrl());
        Subscription subscription = session.subscription(type);
        subscription.setNonce(response.getNonce());
        Map<String, Any> updatedResources = new TreeMap<>();
        response.getResourcesList().forEach(resource -> updatedResources.put(ResourceType.nameOf(resource), resource));
        String rejection = session.applyResources(type, updatedResources);
        if (rejection == null) {
            subscription.accept(response.getVersionInfo(), updatedResources);
        }
        sendRequest(type, subscription, List.of(), List.of(), rejection);
    }
}
