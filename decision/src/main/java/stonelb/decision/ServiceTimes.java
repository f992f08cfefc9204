package stonelb.decision;

/** The expected service times of the requests of each class. */
final class ServiceTimes {
    private final UnitTime[] unitTimes;

    /**
     * @param initialTime the initial time of a unit, as a fraction of the class's latency objective
     * @param decay the factor by which each attempt reduces the weight of earlier ones
     * @param baselineGrowth the factor by which each attempt may raise the time without congestion
     */
    ServiceTimes(DecisionSettings settings, double initialTime, double decay, double baselineGrowth) {
        unitTimes = settings.classes().stream()
                .map(type -> new UnitTime(initialTime * type.latencyObjectiveMs(), decay, baselineGrowth))
                .toArray(UnitTime[]::new);
    }

    /** The time of one unit in the request's class. */
    UnitTime unitTime(OpenRequest request) {
        return unitTimes[request.classIndex()];
    }

    /** In proportion to the units: with one mean for all sizes, large requests would look slow and small ones fast. */
    double expectedMs(OpenRequest request) {
        return request.units() * unitTime(request).meanMs();
    }

    /** Records the latency of a successful attempt. */
    void answered(OpenRequest request, double latencyMs) {
        unitTime(request).add(latencyMs, request.units());
    }

    /** Records an attempt without an answer: its time counts too, or the mean would cover fast responses only. */
    void timedOut(OpenRequest request, double latencyMs) {
        unitTime(request).add(latencyMs, 0);
    }
}
