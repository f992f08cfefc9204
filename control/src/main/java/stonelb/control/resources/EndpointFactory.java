package stonelb.control.resources;

import com.google.protobuf.UInt32Value;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Creates the endpoint assignment that the clusters of all tiers share, with one locality for each zone. */
final class EndpointFactory {
    private static final int MIN_WEIGHT = 1;

    private EndpointFactory() {}

    static ClusterLoadAssignment assignment(List<EndpointResource> endpoints) {
        Map<String, LocalityLbEndpoints.Builder> localities = new TreeMap<>();
        Map<String, Integer> zoneWeights = new TreeMap<>();
        List<EndpointResource> sorted = endpoints.stream()
                .sorted(Comparator.comparing(EndpointResource::name))
                .toList();
        for (EndpointResource endpoint : sorted) {
            localities
                    .computeIfAbsent(endpoint.zone(), EndpointFactory::locality)
                    .addLbEndpoints(lbEndpoint(endpoint));
            int weight = endpoint.draining() ? 0 : atLeastMinimum(endpoint.weight());
            zoneWeights.merge(endpoint.zone(), weight, Integer::sum);
        }
        ClusterLoadAssignment.Builder assignment =
                ClusterLoadAssignment.newBuilder().setClusterName(ResourceFactory.EDS_SERVICE_NAME);
        localities.forEach((zone, locality) -> assignment.addEndpoints(
                locality.setLoadBalancingWeight(UInt32Value.of(atLeastMinimum(zoneWeights.get(zone))))));
        return assignment.build();
    }

    private static LocalityLbEndpoints.Builder locality(String zone) {
        return LocalityLbEndpoints.newBuilder()
                .setLocality(Locality.newBuilder().setZone(zone));
    }

    private static LbEndpoint lbEndpoint(EndpointResource endpoint) {
        SocketAddress address = SocketAddress.newBuilder()
                .setAddress(endpoint.address())
                .setPortValue(endpoint.port())
                .build();
        return LbEndpoint.newBuilder()
                .setEndpoint(Endpoint.newBuilder()
                        .setHostname(endpoint.name())
                        .setAddress(Address.newBuilder().setSocketAddress(address)))
                .setHealthStatus(endpoint.draining() ? HealthStatus.DRAINING : HealthStatus.HEALTHY)
                .setLoadBalancingWeight(UInt32Value.of(atLeastMinimum(endpoint.weight())))
                .build();
    }

    private static int atLeastMinimum(int weight) {
        return Math.max(MIN_WEIGHT, weight);
    }
}
