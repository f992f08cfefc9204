package stonelb.decision;

/** An exponentially weighted mean that starts at its first sample. */
final class ExponentialAverage {
    private final double weight;
    private double value;

    ExponentialAverage(double weight) {
        this.weight = weight;
    }

    void add(double sample) {
        value += (value == 0 ? 1 : weight) * (sample - value);
    }

    /** The mean, 0 while there is no sample. */
    double value() {
        return value;
    }
}
