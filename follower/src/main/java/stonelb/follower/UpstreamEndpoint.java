package stonelb.follower;

import io.envoyproxy.envoy.config.core.v3.Address;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Locality;
import io.envoyproxy.envoy.config.core.v3.SocketAddress;
import io.envoyproxy.envoy.config.endpoint.v3.EndpointLoadMetricStats;
import io.envoyproxy.envoy.config.endpoint.v3.LbEndpoint;
import io.envoyproxy.envoy.config.endpoint.v3.UpstreamEndpointStats;

/**
 * An endpoint of a cluster: its assigned weight and health, its weighted round robin state, and the counts since the last
 * load report. Its state is confined to the executor thread of the {@link ControlClient}; the public methods may be
 * called from any thread.
 */
public final class UpstreamEndpoint {
    private static final String LATENCY_METRIC = "latency_ms";

    /** IP address in text form. */
    public final String address;

    /** TCP port. */
    public final int port;

    private Locality locality;
    private volatile int weight = 1;
    private volatile boolean acceptsRequests;
    private double currentWeight;
    private long inFlight;
    private long issued;
    private long succeeded;
    private long failed;
    private double totalLatencyMs;
    private long latencySamples;

    UpstreamEndpoint(String address, int port) {
        this.address = address;
        this.port = port;
    }

    /** Whether new requests may be sent to this endpoint; false if it is draining or unhealthy. */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }

    /** The load balancing weight relative to the other endpoints of the cluster; at least 1. */
    public int weight() {
        return weight;
    }

    void update(Locality newLocality, LbEndpoint assigned) {
        locality = newLocality;
        weight = Math.max(1, assigned.getLoadBalancingWeight().getValue());
        HealthStatus health = assigned.getHealthStatus();
        acceptsRequests = health == HealthStatus.HEALTHY || health == HealthStatus.UNKNOWN;
    }

    void drain() {
        acceptsRequests = false;
    }

    // Smooth weighted round robin: each pick raises the current weight of every candidate by its weight and lowers that
    // of the picked one by the sum of all weights.

    void raiseCurrentWeight() {
        currentWeight += weight;
    }

    void lowerCurrentWeight(double sumOfWeights) {
        currentWeight -= sumOfWeights;
    }

    double currentWeight() {
        return currentWeight;
    }

    void attemptStarted() {
        inFlight++;
        issued++;
    }

    void attemptEnded(boolean success, double latencyMs) {
        inFlight--;
        if (success) {
            succeeded++;
        } else {
            failed++;
        }
        if (latencyMs >= 0) {
            totalLatencyMs += latencyMs;
            latencySamples++;
        }
    }

    boolean isIdle() {
        return inFlight == 0;
    }

    boolean hasUnreportedLoad() {
        return issued + succeeded + failed + inFlight != 0;
    }

    Locality locality() {
        return locality;
    }

    /** The counts since the last load report ({@code envoy.config.endpoint.v3}). */
    UpstreamEndpointStats loadStats() {
        SocketAddress socketAddress = SocketAddress.newBuilder()
                .setAddress(address)
                .setPortValue(port)
                .build();
        return UpstreamEndpointStats.newBuilder()
                .setAddress(Address.newBuilder().setSocketAddress(socketAddress))
                .setTotalIssuedRequests(issued)
                .setTotalSuccessfulRequests(succeeded)
                .setTotalErrorRequests(failed)
                .setTotalRequestsInProgress(inFlight)
                .addLoadMetricStats(EndpointLoadMetricStats.newBuilder()
                        .setMetricName(LATENCY_METRIC)
                        .setNumRequestsFinishedWithMetric(latencySamples)
                        .setTotalMetricValue(totalLatencyMs))
                .build();
    }

    /** Resets the counts, except for the attempts in flight. */
    void resetLoadStats() {
        issued = 0;
        succeeded = 0;
        failed = 0;
        totalLatencyMs = 0;
        latencySamples = 0;
    }
}
