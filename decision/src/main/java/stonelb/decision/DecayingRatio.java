package stonelb.decision;

/** The ratio of two sums in which earlier additions decay exponentially. */
final class DecayingRatio {
    private final double decay;
    private double numerator;
    private double denominator;

    DecayingRatio(double decay, double numerator, double denominator) {
        this.decay = decay;
        this.numerator = numerator;
        this.denominator = denominator;
    }

    void add(double numeratorAmount, double denominatorAmount) {
        numerator = decay * numerator + numeratorAmount;
        denominator = decay * denominator + denominatorAmount;
    }

    double value() {
        return numerator / denominator;
    }

    /** The decayed denominator, which shows how much data the ratio rests on. */
    double denominator() {
        return denominator;
    }
}
