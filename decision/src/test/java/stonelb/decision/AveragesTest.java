package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The moving averages and ratios that decisions are based on. */
class AveragesTest {
    @Test
    void aMovingAverageIsTheMeanUntilTheMinimumWeight() {
        MovingAverage average = new MovingAverage(0.25);
        assertEquals(0, average.value());
        average.add(10);
        average.add(20);
        assertEquals(15, average.value(), 1e-12);
        for (int sample = 0; sample < 100; sample++) {
            average.add(15);
        }
        average.add(19);
        assertEquals(16, average.value(), 1e-9);
    }

    @Test
    void anExponentialAverageStartsAtItsFirstSample() {
        ExponentialAverage average = new ExponentialAverage(0.5);
        assertEquals(0, average.value());
        average.add(8);
        assertEquals(8, average.value());
        average.add(4);
        assertEquals(6, average.value());
    }

    @Test
    void aDecayingRatioDecaysBothSums() {
        DecayingRatio ratio = new DecayingRatio(0.5, 10, 2);
        assertEquals(5, ratio.value());
        ratio.add(3, 1);
        assertEquals(4, ratio.value());
        assertEquals(2, ratio.denominator());
    }

    @Test
    void aDecayingMeanStaysNearThePriorWhileItHasFewSamples() {
        DecayingMean mean = new DecayingMean(1, 50, 0.1);
        assertEquals(1, mean.meanWithPrior(8));
        mean.add(4);
        assertEquals((4 + 8) / 9.0, mean.meanWithPrior(8), 1e-12);
        mean.decay(0.5);
        assertEquals((2 + 8) / 8.5, mean.meanWithPrior(8), 1e-12);
        mean.reset();
        assertEquals(1, mean.meanWithPrior(8));
    }

    @Test
    void aDecayingMeanGivesEverySampleTheMinimumWeight() {
        DecayingMean mean = new DecayingMean(1, 50, 0.1);
        for (int sample = 0; sample < 60; sample++) {
            mean.add(2);
        }
        mean.add(12);
        assertEquals(3, mean.meanWithPrior(0), 1e-9);
    }
}
