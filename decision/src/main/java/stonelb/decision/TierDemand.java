package stonelb.decision;

import java.util.Arrays;
import java.util.stream.Stream;

/** The arrivals of each priority tier: their smoothed rates and mean values. */
final class TierDemand {
    private final double[] arrivals;
    private final double[] totalValues;
    private final ExponentialAverage[] rates;
    private final ExponentialAverage[] meanValues;

    TierDemand(int tiers, double rateWeight, double valueWeight) {
        arrivals = new double[tiers];
        totalValues = new double[tiers];
        rates = averages(tiers, rateWeight);
        meanValues = averages(tiers, valueWeight);
    }

    private static ExponentialAverage[] averages(int count, double weight) {
        return Stream.generate(() -> new ExponentialAverage(weight))
                .limit(count)
                .toArray(ExponentialAverage[]::new);
    }

    void arrived(int tier, double value) {
        arrivals[tier]++;
        totalValues[tier] += value;
    }

    /** Updates the averages with the arrivals since the last call. */
    void endPeriod(double periodMs) {
        for (int tier = 0; tier < arrivals.length; tier++) {
            rates[tier].add(arrivals[tier] / periodMs);
            if (arrivals[tier] > 0) {
                meanValues[tier].add(totalValues[tier] / arrivals[tier]);
            }
            arrivals[tier] = 0;
            totalValues[tier] = 0;
        }
    }

    /** Per tier, the arrivals per millisecond. */
    double[] arrivalRates() {
        return Arrays.stream(rates).mapToDouble(ExponentialAverage::value).toArray();
    }

    /** Per tier, the mean value of an arrival. */
    double[] meanValues() {
        return Arrays.stream(meanValues).mapToDouble(ExponentialAverage::value).toArray();
    }
}
