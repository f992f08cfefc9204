package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The payoff of a split, and the search for the best one. */
class SplitOptimizerTest {
    private static final double[] VALUES = {2, 10};
    private static final double[] PENALTIES = {1, 2};
    private static final double[] RATES = {40, 5};
    private static final double MIN_GAIN = 1e-9;

    /** The payoff by the formula of Chen and Chen: expected busy slots times the reward, minus the penalties. */
    private static double payoffByState(int slots, double[] rates, double[] values, double[] penalties) {
        double totalRate = 0;
        double reward = 0;
        double penalty = 0;
        for (int tier = 0; tier < rates.length; tier++) {
            totalRate += rates[tier];
            reward += values[tier] * rates[tier];
            penalty += penalties[tier] * rates[tier];
        }
        double term = 1;
        double sum = 1;
        double busy = 0;
        for (int state = 1; state <= slots; state++) {
            term *= totalRate / state;
            sum += term;
            busy += state * term;
        }
        return busy / sum * reward / totalRate - penalty * term / sum;
    }

    private static SplitOptimizer optimizer(int slots) {
        return new SplitOptimizer(slots, RATES, 1, VALUES, PENALTIES);
    }

    private static double payoff(int[] reserves, int shared) {
        return optimizer(20).payoff(reserves, shared);
    }

    @Test
    void noReservesIsTheFreeThreshold() {
        assertEquals(payoffByState(20, RATES, VALUES, PENALTIES), payoff(new int[] {0, 0}, 20), 1e-9);
    }

    @Test
    void noSharedPartIsTheFixedThreshold() {
        double low = payoffByState(12, new double[] {40}, new double[] {2}, new double[] {1});
        double high = payoffByState(8, new double[] {5}, new double[] {10}, new double[] {2});
        assertEquals(low + high, payoff(new int[] {12, 8}, 0), 1e-9);
    }

    @Test
    void findsTheOptimumOfThePapersFigure() {
        assertArrayEquals(new int[] {0, 7}, optimizer(20).bestReserves(1, MIN_GAIN));
    }

    @Test
    void agreesWithADirectSearch() {
        int[] best = {0, 0};
        for (int low = 0; low <= 12; low++) {
            for (int high = 0; low + high <= 12; high++) {
                double payoff = payoff(new int[] {low, high}, 12 - low - high);
                if (payoff > payoff(best, 12 - best[0] - best[1]) + 1e-9) {
                    best = new int[] {low, high};
                }
            }
        }
        assertArrayEquals(best, optimizer(12).bestReserves(1, MIN_GAIN));
    }
}
