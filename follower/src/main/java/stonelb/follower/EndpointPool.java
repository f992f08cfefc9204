package stonelb.follower;

import io.envoyproxy.envoy.config.cluster.v3.CircuitBreakers;
import io.envoyproxy.envoy.config.cluster.v3.Cluster;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterStats;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.LocalityLbEndpoints;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamLocalityStats;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints of one cluster, with its circuit breaker and the counts for load reports. Endpoints are picked by smooth
 * weighted round robin among those that accept requests. The class does no I/O. Its state is confined to the executor
 * thread of the {@link ControlClient}; only {@link #endpoints} may be called from any thread.
 */
public final class EndpointPool {
    /** Envoy's default of {@code max_requests}. */
    private static final long DEFAULT_MAX_IN_FLIGHT = 1024;

    private final String name;
    private final Map<String, UpstreamEndpoint> endpoints = new LinkedHashMap<>();

    /** Immutable snapshot of the assigned endpoints for other threads; each assignment replaces the list. */
    private volatile List<UpstreamEndpoint> assignedEndpoints = List.of();

    /** Endpoints that are no longer assigned and may still have requests in flight. */
    private final List<UpstreamEndpoint> draining = new ArrayList<>();

    private String serviceName;
    private long maxInFlight = DEFAULT_MAX_IN_FLIGHT;
    private long inFlight;
    private double reportedAtMs;

    EndpointPool(String name, double nowMs) {
        this.name = name;
        serviceName = name;
        reportedAtMs = nowMs;
    }

    /** The name of the endpoint assignment: the cluster's EDS service name, or its own name. */
    String serviceName() {
        return serviceName;
    }

    void applyCluster(Cluster cluster) {
        String edsServiceName = cluster.getEdsClusterConfig().getServiceName();
        serviceName = edsServiceName.isEmpty() ? name : edsServiceName;
        maxInFlight = cluster.getCircuitBreakers().getThresholdsList().stream()
                .filter(CircuitBreakers.Thresholds::hasMaxRequests)
                .mapToLong(thresholds -> thresholds.getMaxRequests().getValue())
                .findFirst()
                .orElse(DEFAULT_MAX_IN_FLIGHT);
    }

    /** Replaces the endpoints. Endpoints that stay assigned keep their counts; those no longer assigned drain. */
    void applyAssignment(ClusterLoadAssignment assignment) {
        Map<String, UpstreamEndpoint> assigned = new LinkedHashMap<>();
        for (LocalityLbEndpoints localityEndpoints : assignment.getEndpointsList()) {
            for (LbEndpoint lbEndpoint : localityEndpoints.getLbEndpointsList()) {
                SocketAddress address = lbEndpoint.getEndpoint().getAddress().getSocketAddress();
                String key = address.getAddress() + ":" + address.getPortValue();
                UpstreamEndpoint existing = endpoints.remove(key);
                UpstreamEndpoint endpoint = existing == null
                        ? new UpstreamEndpoint(address.getAddress(), address.getPortValue())
                        : existing;
                endpoint.update(localityEndpoints.getLocality(), lbEndpoint);
                assigned.put(key, endpoint);
            }
        }
        assignedEndpoints = List.copyOf(assigned.values());
        endpoints.values().forEach(UpstreamEndpoint::drain);
        draining.addAll(endpoints.values());
        endpoints.clear();
        endpoints.putAll(assigned);
    }

    /**
     * Picks the endpoint for the next attempt and counts the attempt as in flight. An endpoint among {@code tried} is
     * picked only if no other accepts requests.
     *
     * @return the endpoint, or null if there is none; {@link #lastFailure} gives the reason
     */
    public UpstreamEndpoint pick(Set<UpstreamEndpoint> tried) {
        if (isCircuitBreakerOpen()) {
            return null;
        }
        UpstreamEndpoint picked = nextWeighted(tried);
        if (picked == null) {
            picked = nextWeighted(Set.of());
        }
        if (picked != null) {
            picked.attemptStarted();
            inFlight++;
        }
        return picked;
    }

    private UpstreamEndpoint nextWeighted(Set<UpstreamEndpoint> excluded) {
        double sumOfWeights = 0;
        UpstreamEndpoint best = null;
        for (UpstreamEndpoint endpoint : endpoints.values()) {
            if (!endpoint.acceptsRequests() || excluded.contains(endpoint)) {
                continue;
            }
            sumOfWeights += endpoint.weight();
            endpoint.raiseCurrentWeight();
            if (best == null || endpoint.currentWeight() > best.currentWeight()) {
                best = endpoint;
            }
        }
        if (best != null) {
            best.lowerCurrentWeight(sumOfWeights);
        }
        return best;
    }

    private boolean isCircuitBreakerOpen() {
        return inFlight >= maxInFlight;
    }

    /** Why {@link #pick} found no endpoint. */
    public PickFailure lastFailure() {
        return isCircuitBreakerOpen() ? PickFailure.CIRCUIT_BREAKER_OPEN : PickFailure.NO_HEALTHY_ENDPOINT;
    }

    /**
     * Counts an attempt as ended.
     *
     * @param endpoint the endpoint that was picked for it
     * @param success whether it counts as a success in the load report
     * @param latencyMs its latency in milliseconds; negative if the attempt ended early and has no latency
     */
    public void attemptEnded(UpstreamEndpoint endpoint, boolean success, double latencyMs) {
        endpoint.attemptEnded(success, latencyMs);
        inFlight--;
    }

    /** The number of attempts in flight. */
    public long inFlight() {
        return inFlight;
    }

    /** The number of attempts in flight at which the circuit breaker opens. */
    public long maxInFlight() {
        return maxInFlight;
    }

    /** The assigned endpoints, including those that accept no requests. May be called from any thread. */
    public List<UpstreamEndpoint> endpoints() {
        return assignedEndpoints;
    }

    /** The load of the cluster since the last report ({@code envoy.config.endpoint.v3}); resets the counts. */
    ClusterStats loadReport(double nowMs) {
        Map<Locality, UpstreamLocalityStats.Builder> localities = new LinkedHashMap<>();
        addLoad(endpoints.values(), localities);
        addLoad(draining, localities);
        draining.removeIf(UpstreamEndpoint::isIdle);
        ClusterStats.Builder report = ClusterStats.newBuilder()
                .setClusterName(name)
                .setLoadReportInterval(ProtoDurations.fromMillis(nowMs - reportedAtMs));
        localities.values().forEach(report::addUpstreamLocalityStats);
        reportedAtMs = nowMs;
        return report.build();
    }

    private static void addLoad(
            Iterable<UpstreamEndpoint> endpoints, Map<Locality, UpstreamLocalityStats.Builder> localities) {
        for (UpstreamEndpoint endpoint : endpoints) {
            if (!endpoint.hasUnreportedLoad()) {
                continue;
            }
            UpstreamEndpointStats load = endpoint.loadStats();
            UpstreamLocalityStats.Builder total =
                    localities.computeIfAbsent(endpoint.locality(), locality -> UpstreamLocalityStats.newBuilder()
                            .setLocality(locality));
            total.setTotalIssuedRequests(total.getTotalIssuedRequests() + load.getTotalIssuedRequests())
                    .setTotalSuccessfulRequests(total.getTotalSuccessfulRequests() + load.getTotalSuccessfulRequests())
                    .setTotalErrorRequests(total.getTotalErrorRequests() + load.getTotalErrorRequests())
                    .setTotalRequestsInProgress(total.getTotalRequestsInProgress() + load.getTotalRequestsInProgress())
                    .addUpstreamEndpointStats(load);
            endpoint.resetLoadStats();
        }
    }
}
