package stonelb.decision;

/** A mean whose sample count decays with time, so that new samples outweigh old ones. */
final class DecayingMean {
    private final double initial;
    private final double maxSamples;
    private final double minWeight;
    private double samples;
    private double value;

    DecayingMean(double initial, double maxSamples, double minWeight) {
        this.initial = initial;
        this.maxSamples = maxSamples;
        this.minWeight = minWeight;
        value = initial;
    }

    void add(double sample) {
        samples = Math.min(maxSamples, samples + 1);
        value += Math.max(minWeight, 1 / samples) * (sample - value);
    }

    void decay(double factor) {
        samples *= factor;
    }

    void reset() {
        samples = 0;
        value = initial;
    }

    /** The mean with {@code priorSamples} samples of 1 added, which dominate while it has few samples of its own. */
    double meanWithPrior(double priorSamples) {
        return (samples * value + priorSamples) / (samples + priorSamples);
    }
}
