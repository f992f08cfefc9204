package stonelb.decision;

import java.util.Arrays;

/**
 * Finds the best split of slots into a reserve for each tier and a shared part, after Chen and Chen. Each reserve is
 * an Erlang loss group; its overflow is offered to the shared group, whose overflow is rejected.
 */
final class SplitOptimizer {
    private final int slots;
    private final double[] arrivalRates;
    private final double serviceRate;
    private final double[] values;
    private final double[] penalties;
    private final double[][] loss;
    private final int[] candidate;
    private int[] best;
    private double bestPayoff;

    /** All arrays are indexed by tier; values and penalties are per request. */
    SplitOptimizer(int slots, double[] arrivalRates, double serviceRate, double[] values, double[] penalties) {
        this.slots = slots;
        this.arrivalRates = arrivalRates;
        this.serviceRate = serviceRate;
        this.values = values;
        this.penalties = penalties;
        loss = Arrays.stream(arrivalRates)
                .mapToObj(rate -> ErlangLoss.table(slots, rate / serviceRate))
                .toArray(double[][]::new);
        candidate = new int[arrivalRates.length];
    }

    /**
     * The reserves with the highest payoff among all splits in steps of this size. A split with larger reserves has to
     * exceed the payoff of one with smaller reserves by more than this fraction.
     */
    int[] bestReserves(int step, double minRelativeGain) {
        best = new int[candidate.length];
        bestPayoff = payoff(best, slots);
        tryReservesFrom(0, slots, step, minRelativeGain);
        return best;
    }

    private void tryReservesFrom(int tier, int slotsLeft, int step, double minRelativeGain) {
        if (tier == candidate.length) {
            double payoff = payoff(candidate, slotsLeft);
            if (payoff > bestPayoff + minRelativeGain * Math.abs(bestPayoff)) {
                bestPayoff = payoff;
                best = candidate.clone();
            }
            return;
        }
        for (candidate[tier] = 0; candidate[tier] <= slotsLeft; candidate[tier] += step) {
            tryReservesFrom(tier + 1, slotsLeft - candidate[tier], step, minRelativeGain);
        }
        candidate[tier] = 0;
    }

    /** The value of served requests minus the penalties of rejected ones, per unit of time. */
    double payoff(int[] reserves, int shared) {
        double overflow = 0;
        for (int tier = 0; tier < reserves.length; tier++) {
            overflow += arrivalRates[tier] * loss[tier][reserves[tier]];
        }
        double sharedLoss = ErlangLoss.of(shared, overflow / serviceRate);
        double payoff = 0;
        for (int tier = 0; tier < reserves.length; tier++) {
            double rejected = arrivalRates[tier] * loss[tier][reserves[tier]] * sharedLoss;
            payoff += values[tier] * (arrivalRates[tier] - rejected) - penalties[tier] * rejected;
        }
        return payoff;
    }
}
