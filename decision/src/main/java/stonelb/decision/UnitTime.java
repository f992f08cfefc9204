package stonelb.decision;

/** The time that one unit of work takes in a class: time spent per unit answered, with exponential decay. */
final class UnitTime {
    private final double maxUncongestedGrowth;
    private final DecayingRatio msPerUnit;
    private double uncongestedMs;

    /** @param maxUncongestedGrowth the factor by which the time without congestion may grow with each attempt */
    UnitTime(double initialMs, double decay, double maxUncongestedGrowth) {
        this.maxUncongestedGrowth = maxUncongestedGrowth;
        msPerUnit = new DecayingRatio(decay, initialMs, 1);
        uncongestedMs = initialMs;
    }

    /** Adds an attempt; one without an answer adds time but no units. */
    void add(double spentMs, double answeredUnits) {
        msPerUnit.add(spentMs, answeredUnits);
        uncongestedMs = Math.min(uncongestedMs * maxUncongestedGrowth, meanMs());
    }

    double meanMs() {
        return msPerUnit.value();
    }

    /** The mean without congestion: it follows a lower mean at once and grows slowly. */
    double uncongestedMs() {
        return uncongestedMs;
    }

    /** The decayed number of units answered that the mean is based on. */
    double answeredUnits() {
        return msPerUnit.denominator();
    }
}
