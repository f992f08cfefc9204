package stonelb.follower;

import com.google.protobuf.Any;
import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceStub;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import io.grpc.stub.StreamObserver;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The incremental (delta) variant of ADS: responses and changes of names carry only the differences. */
final class IncrementalVariant implements AdsVariant {
    private final String nodeId;
    private AdsSession session;
    private StreamObserver<DeltaDiscoveryRequest> requests;

    IncrementalVariant(String nodeId) {
        this.nodeId = nodeId;
    }

    @Override
    public void open(AggregatedDiscoveryServiceStub stub, AdsSession openingSession) {
        session = openingSession;
        requests = stub.deltaAggregatedResources(session.observeCurrentStream(this::onResponse));
    }

    @Override
    public void sendRequest(
            ResourceType type,
            Subscription subscription,
            Collection<String> added,
            Collection<String> removed,
            String rejection) {
        DeltaDiscoveryRequest.Builder request = DeltaDiscoveryRequest.newBuilder()
                .setTypeUrl(type.typeUrl())
                .setNode(AdsSession.node(nodeId, subscription))
                .setResponseNonce(subscription.nonce())
                .addAllResourceNamesSubscribe(added)
                .addAllResourceNamesUnsubscribe(removed);
        if (!subscription.isRequestedOnStream()) {
            request.putAllInitialResourceVersions(subscription.resourceVersions());
        }
        if (rejection != null) {
            request.setErrorDetail(AdsSession.errorDetail(rejection));
        }
        subscription.requestSent();
        subscription.setNonce("");
        requests.onNext(request.build());
    }

    private void onResponse(DeltaDiscoveryResponse response) {
        ResourceType type = ResourceType.of(response.getTypeUrl());
        Subscription subscription = session.subscription(type);
        subscription.setNonce(response.getNonce());
        Map<String, Any> updatedResources = new TreeMap<>(subscription.resources());
        for (Resource resource : response.getResourcesList()) {
            updatedResources.put(resource.getName(), resource.getResource());
        }
        response.getRemovedResourcesList().forEach(updatedResources::remove);
        String rejection = session.applyResources(type, updatedResources);
        if (rejection == null) {
            subscription.accept(response.getSystemVersionInfo(), updatedResources);
            Map<String, String> versions = subscription.resourceVersions();
            response.getResourcesList().forEach(resource -> versions.put(resource.getName(), resource.getVersion()));
            response.getRemovedResourcesList().forEach(versions::remove);
        }
        sendRequest(type, subscription, List.of(), List.of(), rejection);
    }
}
