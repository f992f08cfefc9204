package stonelb.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.Any;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.Endpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests reads of {@link ProxyResources} by other threads while the executor thread applies changes. */
class ProxyResourcesTest {
    private static final String CLUSTER = "servers";
    private static final int ENDPOINTS = 3;
    private static final int CHANGES = 5000;

    private static final class NoOpListener implements ProxyResources.ChangeListener {
        @Override
        public void subscriptionChanged(ResourceType type, Collection<String> names) {}

        @Override
        public void quotaFilterChanged() {}
    }

    private static Map<String, Any> cluster(String name) {
        return Map.of(name, Any.pack(Cluster.newBuilder().setName(name).build()));
    }

    /** An assignment of consecutive ports; assignments with adjacent first ports share endpoints. */
    private static Map<String, Any> assignment(int firstPort) {
        LocalityLbEndpoints.Builder localityEndpoints = LocalityLbEndpoints.newBuilder();
        for (int port = firstPort; port < firstPort + ENDPOINTS; port++) {
            SocketAddress address = SocketAddress.newBuilder()
                    .setAddress("127.0.0.1")
                    .setPortValue(port)
                    .build();
            localityEndpoints.addLbEndpoints(LbEndpoint.newBuilder()
                    .setEndpoint(Endpoint.newBuilder()
                            .setAddress(Address.newBuilder().setSocketAddress(address))));
        }
        ClusterLoadAssignment assignment = ClusterLoadAssignment.newBuilder()
                .setClusterName(CLUSTER)
                .addEndpoints(localityEndpoints)
                .build();
        return Map.of(CLUSTER, Any.pack(assignment));
    }

    private static void applyChanges(ProxyResources resources) {
        try {
            for (int change = 1; change <= CHANGES; change++) {
                resources.apply(ResourceType.ENDPOINTS, assignment(1 + change % 2));
                if (change % 50 == 0) {
                    resources.apply(ResourceType.CLUSTER, cluster("added-" + change));
                }
            }
        } catch (InvalidResourceException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void concurrentReadersSeeCompleteEndpointListsDuringUpdates() throws Exception {
        ProxyResources resources = new ProxyResources(new NoOpListener());
        resources.apply(ResourceType.CLUSTER, cluster(CLUSTER));
        resources.apply(ResourceType.ENDPOINTS, assignment(1));
        CompletableFuture<Void> changes = CompletableFuture.runAsync(() -> applyChanges(resources));
        while (!changes.isDone()) {
            assertEquals(ENDPOINTS, resources.pools().get(CLUSTER).endpoints().size());
            assertTrue(resources.pools().values().stream()
                    .anyMatch(pool -> pool.endpoints().stream().anyMatch(UpstreamEndpoint::acceptsRequests)));
        }
        changes.get(10, TimeUnit.SECONDS);
        assertEquals(1 + CHANGES / 50, resources.pools().size());
    }
}
