package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

/** The grouping of request weights into tiers. */
class PriorityTiersTest {
    private static PriorityTiers tiers(int maxTiers, double... weights) {
        List<RequestClass> classes = DoubleStream.of(weights)
                .mapToObj(
                        weight -> new RequestClass(1000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000, weight))
                .toList();
        AttemptLimits limits = new AttemptLimits(1, false, false, true, 1000);
        return new PriorityTiers(
                new DecisionSettings(
                        1,
                        classes,
                        List.of(new Plan(0, 0, 0, 0, 0, 1, 0, 1)),
                        limits,
                        new SlowStart(0.2, 10_000, 2000),
                        new CounterSettings(true, 50),
                        4,
                        false,
                        false,
                        4),
                maxTiers);
    }

    @Test
    void theWidestGapsSeparateTheTiers() {
        PriorityTiers tiers = tiers(3, 1, 1.1, 5, 6, 60);
        assertEquals(3, tiers.count());
        assertEquals(0, tiers.tierOf(1.1));
        assertEquals(1, tiers.tierOf(5));
        assertEquals(1, tiers.tierOf(59));
        assertEquals(2, tiers.tierOf(60));
    }

    @Test
    void oneWeightIsOneTier() {
        PriorityTiers tiers = tiers(3, 2, 2);
        assertEquals(1, tiers.count());
        assertEquals(0, tiers.tierOf(2));
    }

    @Test
    void weightsThatAreNotPositiveAreInTheLowestTier() {
        PriorityTiers tiers = tiers(2, 0, 1, 10);
        assertEquals(2, tiers.count());
        assertEquals(0, tiers.tierOf(0));
        assertEquals(1, tiers.tierOf(10));
    }
}
