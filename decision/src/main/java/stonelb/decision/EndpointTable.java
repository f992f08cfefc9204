package stonelb.decision;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;

/** The endpoints of the latest lists, in the order in which they first appeared, and means over them. */
final class EndpointTable {
    private final SlowStart slowStart;
    private final int classCount;
    private final DoubleSupplier initialBudget;
    private final Map<Long, TrackedEndpoint> endpoints = new LinkedHashMap<>();
    private double meanWeight = 1;
    private double warmSendsPerMs;
    private double sendIntervalMs;

    /** @param initialBudget supplies the initial budget of attempts of a new endpoint */
    EndpointTable(DecisionSettings settings, DoubleSupplier initialBudget) {
        slowStart = settings.slowStart();
        classCount = settings.classes().size();
        this.initialBudget = initialBudget;
    }

    Collection<TrackedEndpoint> all() {
        return endpoints.values();
    }

    int readyCount() {
        return (int) all().stream().filter(TrackedEndpoint::isReady).count();
    }

    /** The capacity of the ready and reachable endpoints, as a number of warm endpoints. */
    double reachableCapacity(double now) {
        return all().stream()
                .filter(endpoint -> endpoint.isReady() && endpoint.isReachable(now))
                .mapToDouble(endpoint -> endpoint.capacity(now))
                .sum();
    }

    /** The mean weight of the ready endpoints, 1 if there are none. */
    double meanWeight() {
        return meanWeight;
    }

    /** The attempts per millisecond that this gateway sends to a warm endpoint on average. */
    double warmSendsPerMs() {
        return warmSendsPerMs;
    }

    /** The mean time between two attempts of this gateway at a warm endpoint, 0 while unknown. */
    double sendIntervalMs() {
        return sendIntervalMs;
    }

    /** Applies a list; a complete list removes the endpoints that it does not contain. */
    void update(double now, EndpointListType type, List<Endpoint> list) {
        Set<Long> listedIds = new HashSet<>();
        for (Endpoint entry : list) {
            listedIds.add(entry.id());
            TrackedEndpoint endpoint =
                    endpoints.computeIfAbsent(entry.id(), id -> new TrackedEndpoint(id, slowStart, classCount));
            if (endpoint.isRestartedBy(entry)) {
                endpoint.restart(now, entry.startedAtMs(), initialBudget.getAsDouble());
            }
            endpoint.update(entry);
        }
        double readyWeight = 0;
        for (TrackedEndpoint endpoint : all()) {
            if (type != EndpointListType.DELTA && !listedIds.contains(endpoint.id())) {
                endpoint.markRemoved();
            }
            readyWeight += endpoint.isReady() ? endpoint.weight() : 0;
        }
        meanWeight = readyWeight > 0 ? readyWeight / readyCount() : 1;
    }

    /** Decays the measurements by one tick and recomputes the means. */
    void tick(double now, double tickMs) {
        all().removeIf(TrackedEndpoint::isRemovedAndIdle);
        double sends = 0;
        double warmEndpoints = 0;
        for (TrackedEndpoint endpoint : all()) {
            endpoint.tick(tickMs);
            if (endpoint.isReady() && endpoint.isWarm(now)) {
                sends += endpoint.sendsPerMs();
                warmEndpoints++;
            }
        }
        warmSendsPerMs = warmEndpoints > 0 ? sends / warmEndpoints : 0;
        sendIntervalMs = sends > 0 ? Math.min(EndpointHealth.MAX_SEND_INTERVAL_MS, warmEndpoints / sends) : 0;
    }
}
