package stonelb.follower;

import io.envoyproxy.envoy.service.discovery.v3.AggregatedDiscoveryServiceGrpc.AggregatedDiscoveryServiceStub;
import java.util.Collection;

/** A variant of the ADS protocol: its messages and how they are built from a subscription. */
interface AdsVariant {

    /**
     * Opens the stream on which later requests are sent.
     *
     * @param stub stub of the service
     * @param session session that creates the response observer
     */
    void open(AggregatedDiscoveryServiceStub stub, AdsSession session);

    /**
     * Sends a request: the first for a type on a stream, a change of names, or the ACK or NACK of a response.
     *
     * @param type type of the resources
     * @param subscription its subscription
     * @param added names subscribed to with this request
     * @param removed names unsubscribed from with this request
     * @param rejection reason for rejecting the last response (NACK), or null
     */
    void sendRequest(
            ResourceType type,
            Subscription subscription,
            Collection<String> added,
            Collection<String> removed,
            String rejection);
}
