package stonelb.decision;

/** The mean of all samples at first and of recent ones later, since each sample has a minimum weight. */
final class MovingAverage {
    private final double minWeight;
    private long samples;
    private double value;

    MovingAverage(double minWeight) {
        this.minWeight = minWeight;
    }

    void add(double sample) {
        samples++;
        value += Math.max(minWeight, 1.0 / samples) * (sample - value);
    }

    /** The mean, 0 while there is no sample. */
    double value() {
        return value;
    }
}
