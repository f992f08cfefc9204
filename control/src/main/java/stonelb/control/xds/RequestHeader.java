package stonelb.control.xds;

import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;

/**
 * The fields that requests of both variants of ADS share.
 *
 * @param typeUrl the resource type that is requested
 * @param node the node as the request names it; only the first one of a stream has to
 */
record RequestHeader(String typeUrl, Node node) {

    /** The header of a state-of-the-world or incremental request. */
    static RequestHeader of(Object request) {
        if (request instanceof DiscoveryRequest stateOfTheWorld) {
            return new RequestHeader(stateOfTheWorld.getTypeUrl(), stateOfTheWorld.getNode());
        }
        DeltaDiscoveryRequest incremental = (DeltaDiscoveryRequest) request;
        return new RequestHeader(incremental.getTypeUrl(), incremental.getNode());
    }
}
