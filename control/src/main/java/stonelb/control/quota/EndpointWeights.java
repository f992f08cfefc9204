package stonelb.control.quota;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.decision.Outcome;
import stonelb.decision.SlowStart;

/**
 * Load balancing weights of the endpoints for one proxy, calculated from how often its decision engine chose each. Also
 * holds what the proxy's load reports say of each endpoint.
 */
final class EndpointWeights {
    private static final int MAX_WEIGHT = 128;

    /** A ready endpoint that is chosen as often as the mean has this weight; {@link #MAX_WEIGHT} is twice the mean. */
    private static final double MAX_CAPACITY = 2;

    /** The factor applied to the number of choices after each calculation of weights. */
    private static final double CHOICE_DECAY = 0.9;

    /** With fewer choices for each ready endpoint, weights depend on slow start alone. */
    private static final double MIN_CHOICES_PER_ENDPOINT = 8;

    /** A weight changes only by more than this fraction of its published value. */
    private static final double WEIGHT_HYSTERESIS = 0.2;

    private final SlowStart slowStart;
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    private final Map<Long, EndpointLoad> loads = new TreeMap<>();

    EndpointWeights(SlowStart slowStart) {
        this.slowStart = slowStart;
    }

    /** Applies an endpoint list. The load of an endpoint is discarded when it is removed or restarted. */
    void endpointsChanged(EndpointListType type, List<Endpoint> changed) {
        if (type != EndpointListType.DELTA) {
            endpoints.clear();
        }
        for (Endpoint endpoint : changed) {
            if (endpoint.state() == EndpointState.REMOVED) {
                endpoints.remove(endpoint.id());
                loads.remove(endpoint.id());
            } else {
                Endpoint previous = endpoints.put(endpoint.id(), endpoint);
                if (previous != null && endpoint.startedAtMs() > previous.startedAtMs()) {
                    loads.remove(endpoint.id());
                }
            }
        }
        loads.keySet().retainAll(endpoints.keySet());
    }

    /** Records a load report on an endpoint; one on an unknown endpoint is ignored. */
    void loadReported(double now, long endpoint, LoadReport report) {
        if (endpoints.containsKey(endpoint)) {
            loadOf(endpoint).loadReported(now, report);
        }
    }

    /** The time of the last load report on any endpoint, or negative infinity. */
    double lastLoadReportAt() {
        double last = Double.NEGATIVE_INFINITY;
        for (EndpointLoad load : loads.values()) {
            last = Math.max(last, load.lastReportAt());
        }
        return last;
    }

    /**
     * Counts that the engine chose an endpoint.
     *
     * @return the latency in milliseconds that the proxy measures there, or {@code assumedMs} before the first
     *     measurement
     */
    double endpointChosen(long endpoint, double assumedMs) {
        EndpointLoad load = loadOf(endpoint);
        load.countChoice();
        return load.latencyMs(assumedMs);
    }

    /** The outcome of the next simulated attempt at an endpoint: one error for each error that was reported. */
    Outcome nextOutcome(long endpoint) {
        EndpointLoad load = loads.get(endpoint);
        return load != null && load.consumeError() ? Outcome.ERROR : Outcome.OK;
    }

    private EndpointLoad loadOf(long endpoint) {
        return loads.computeIfAbsent(endpoint, id -> new EndpointLoad());
    }

    /**
     * Calculates the weights of ready endpoints from the choices of the engine since the last calculations, relative to
     * their mean. An endpoint in slow start gets at most the capacity that its ramp guarantees at this time.
     *
     * @return weights from 1 to 128 by endpoint; a weight stays the same unless it changes by more than a fifth
     */
    Map<Long, Integer> update(double now) {
        double choices = 0;
        int ready = 0;
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.state() == EndpointState.READY) {
                ready++;
                EndpointLoad load = loads.get(endpoint.id());
                choices += load != null ? load.choices() : 0;
            }
        }
        Map<Long, Integer> weights = new TreeMap<>();
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.state() == EndpointState.READY) {
                EndpointLoad load = loadOf(endpoint.id());
                double capacity = slowStartCapacity(now, endpoint);
                if (choices >= MIN_CHOICES_PER_ENDPOINT * ready) {
                    double maxCapacity = capacity < 1 ? capacity : MAX_CAPACITY;
                    capacity = Math.min(maxCapacity, load.choices() * ready / choices);
                }
                weights.put(endpoint.id(), publish(load, capacity));
                load.decayChoices(CHOICE_DECAY);
            }
        }
        return weights;
    }

    private static int publish(EndpointLoad load, double capacity) {
        long scaled = Math.round(capacity * MAX_WEIGHT / MAX_CAPACITY);
        int weight = (int) Math.max(1, Math.min(MAX_WEIGHT, scaled));
        int published = load.publishedWeight();
        if (published == 0 || Math.abs(weight - published) > WEIGHT_HYSTERESIS * published) {
            load.publishWeight(weight);
        }
        return load.publishedWeight();
    }

    /** The fraction of its full capacity that slow start assumes for an endpoint; 1 once the ramp is over. */
    private double slowStartCapacity(double now, Endpoint endpoint) {
        double ageMs = now - endpoint.startedAtMs();
        if (endpoint.startedAtMs() <= 0 || ageMs >= slowStart.rampMs()) {
            return 1;
        }
        double initial = slowStart.initialCapacity();
        return initial + (1 - initial) * Math.max(0, ageMs) / Math.max(1, slowStart.rampMs());
    }
}
