package stonelb.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Records when requests reach the plan servers of two deployments that receive the same traffic, and compares them
 * for each customer. The units forwarded by the candidate up to a time t have to lie between those that the reference had
 * forwarded a band earlier and those that it has forwarded a band later. Thread-safe.
 */
final class DriftRecorder {
    private static final double MS_PER_SECOND = 1000;
    private static final double BAND_MS = 1000;
    private static final double SAMPLE_INTERVAL_MS = 100;
    private static final double BAND_STEP_SECONDS = 0.1;

    private final Map<String, List<Double>> candidateTimes = new HashMap<>();
    private final Map<String, List<Double>> referenceTimes = new HashMap<>();

    /** Records a request that reached the candidate's plan servers; times are relative to the start, in any order. */
    synchronized void recordCandidate(String customerId, double atMs) {
        candidateTimes.computeIfAbsent(customerId, id -> new ArrayList<>()).add(atMs);
    }

    /** Records a request that reached the reference's plan servers; times are relative to the start, in any order. */
    synchronized void recordReference(String customerId, double atMs) {
        referenceTimes.computeIfAbsent(customerId, id -> new ArrayList<>()).add(atMs);
    }

    /**
     * Compares all customers.
     *
     * @param lengthMs how long the traffic lasted, in milliseconds
     */
    synchronized DriftSummary summarize(double lengthMs) {
        Set<String> customerIds = new TreeSet<>(candidateTimes.keySet());
        customerIds.addAll(referenceTimes.keySet());
        String worstCustomer = "";
        double worstUnits = 0;
        int customersOutsideBand = 0;
        double candidateUnits = 0;
        double referenceUnits = 0;
        for (String customerId : customerIds) {
            double[] candidate = sorted(candidateTimes.get(customerId));
            double[] reference = sorted(referenceTimes.get(customerId));
            candidateUnits += candidate.length;
            referenceUnits += reference.length;
            double units = deviation(candidate, reference, BAND_MS, lengthMs);
            if (units > 0) {
                customersOutsideBand++;
            }
            if (units > worstUnits || worstCustomer.isEmpty()) {
                worstUnits = Math.max(worstUnits, units);
                worstCustomer = customerId;
            }
        }
        double seconds = smallestBand(
                sorted(candidateTimes.get(worstCustomer)), sorted(referenceTimes.get(worstCustomer)), lengthMs);
        return new DriftSummary(
                worstCustomer,
                worstUnits,
                seconds,
                customersOutsideBand,
                customerIds.size(),
                candidateUnits,
                referenceUnits);
    }

    /** Returns the width in seconds of the narrowest band that contains the candidate. */
    private static double smallestBand(double[] candidate, double[] reference, double lengthMs) {
        double seconds = 0;
        while (seconds < lengthMs / MS_PER_SECOND
                && deviation(candidate, reference, MS_PER_SECOND * seconds, lengthMs) > 0) {
            seconds += BAND_STEP_SECONDS;
        }
        return seconds;
    }

    /** Returns the largest distance in units of the candidate's count from the reference's band; 0 if always inside. */
    private static double deviation(double[] candidate, double[] reference, double bandMs, double lengthMs) {
        double worst = 0;
        for (double timeMs = 0; timeMs <= lengthMs; timeMs += SAMPLE_INTERVAL_MS) {
            int count = countUpTo(candidate, timeMs);
            int lower = countUpTo(reference, timeMs - bandMs);
            int upper = countUpTo(reference, timeMs + bandMs);
            worst = Math.max(worst, Math.max(lower - count, count - upper));
        }
        return worst;
    }

    private static double[] sorted(List<Double> times) {
        if (times == null) {
            return new double[0];
        }
        double[] sorted = times.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        return sorted;
    }

    private static int countUpTo(double[] sortedTimes, double timeMs) {
        int index = Arrays.binarySearch(sortedTimes, timeMs);
        if (index < 0) {
            return -index - 1;
        }
        while (index < sortedTimes.length && sortedTimes[index] <= timeMs) {
            index++;
        }
        return index;
    }

    /**
     * Returns the largest number of units by which the candidate overdrew a customer's token bucket.
     *
     * @param customerIds selects the customers to check
     * @param unitsPerSecond the rate at which a bucket is refilled
     * @param burst the capacity of a bucket, which starts full
     * @return the units, or 0 if no bucket was overdrawn
     */
    synchronized double candidateOverdraft(Predicate<String> customerIds, double unitsPerSecond, double burst) {
        double worst = 0;
        for (Map.Entry<String, List<Double>> customer : candidateTimes.entrySet()) {
            if (!customerIds.test(customer.getKey())) {
                continue;
            }
            double tokens = burst;
            double previousMs = 0;
            for (double timeMs : sorted(customer.getValue())) {
                double refilled = tokens + unitsPerSecond * (timeMs - previousMs) / MS_PER_SECOND;
                tokens = Math.min(burst, refilled) - 1;
                previousMs = timeMs;
                worst = Math.max(worst, -tokens);
            }
        }
        return worst;
    }
}
