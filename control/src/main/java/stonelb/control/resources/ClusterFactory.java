package stonelb.control.resources;

import com.google.protobuf.Message;
import com.google.protobuf.UInt32Value;
import com.google.protobuf.util.Durations;
import io.envoyproxy.envoy.config.cluster.v3.CircuitBreakers;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.cluster.v3.OutlierDetection;
import io.envoyproxy.envoy.config.core.v3.RoutingPriority;
import java.util.Map;
import java.util.TreeMap;

/** Creates the clusters: one for each tier, whose circuit breaker enforces the slot limit of the tier. */
final class ClusterFactory {
    /** One in this many requests in flight may be a retry. */
    private static final int REQUESTS_PER_RETRY = 4;

    private static final int CONSECUTIVE_ERRORS_TO_EJECT = 5;
    private static final long BASE_EJECTION_SECONDS = 2;
    private static final int MAX_EJECTION_PERCENT = 50;

    private final int connectTimeoutMs;

    ClusterFactory(int connectTimeoutMs) {
        this.connectTimeoutMs = connectTimeoutMs;
    }

    Map<String, Message> clusters(int[] slotLimits) {
        Map<String, Message> clusters = new TreeMap<>();
        for (int tier = 0; tier < slotLimits.length; tier++) {
            String name = ResourceFactory.CLUSTER_PREFIX + tier;
            clusters.put(name, cluster(name, slotLimits[tier]));
        }
        return clusters;
    }

    private Cluster cluster(String name, int slotLimit) {
        return Cluster.newBuilder()
                .setName(name)
                .setType(Cluster.DiscoveryType.EDS)
                .setEdsClusterConfig(Cluster.EdsClusterConfig.newBuilder()
                        .setEdsConfig(ConfigSources.aggregated())
                        .setServiceName(ResourceFactory.EDS_SERVICE_NAME))
                .setConnectTimeout(Durations.fromMillis(connectTimeoutMs))
                .setLbPolicy(Cluster.LbPolicy.ROUND_ROBIN)
                .setLrsServer(ConfigSources.self())
                .setCircuitBreakers(CircuitBreakers.newBuilder().addThresholds(thresholds(slotLimit)))
                .setOutlierDetection(OutlierDetection.newBuilder()
                        .setConsecutive5Xx(UInt32Value.of(CONSECUTIVE_ERRORS_TO_EJECT))
                        .setBaseEjectionTime(Durations.fromSeconds(BASE_EJECTION_SECONDS))
                        .setMaxEjectionPercent(UInt32Value.of(MAX_EJECTION_PERCENT)))
                .build();
    }

    private static CircuitBreakers.Thresholds thresholds(int slotLimit) {
        return CircuitBreakers.Thresholds.newBuilder()
                .setPriority(RoutingPriority.DEFAULT)
                .setMaxRequests(UInt32Value.of(slotLimit))
                .setMaxPendingRequests(UInt32Value.of(slotLimit))
                .setMaxRetries(UInt32Value.of(Math.max(1, slotLimit / REQUESTS_PER_RETRY)))
                .build();
    }
}
