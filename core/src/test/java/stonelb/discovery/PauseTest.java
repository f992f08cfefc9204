package stonelb.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How long a gateway leaves a discovery alone that has failed it. */
class PauseTest {
    private static final int[] FLEETS = {1, 14, 200};

    /** Gateways that all fail at once and for good: the calls of the whole fleet in a second, after some time. */
    private static double callsPerSecond(int gateways) {
        SplittableRandom seeds = new SplittableRandom(5);
        int calls = 0;
        for (int g = 0; g < gateways; g++) {
            SplittableRandom random = seeds.split();
            double at = 0;
            for (int failures = 0; at < 600_000; failures++) {
                at += Watch.pauseMs(failures, gateways, random);
                calls += at > 300_000 ? 1 : 0;
            }
        }
        return calls / 300.0;
    }

    @Test
    void theWholeFleetAsksAFewTimesASecondHoweverLargeItIs() {
        for (int gateways : FLEETS) {
            double rate = callsPerSecond(gateways);
            assertTrue(rate < 10, gateways + " gateways ask " + rate + " times a second");
            assertTrue(rate > 1, gateways + " gateways ask " + rate + " times a second: news would come late");
        }
    }

    @Test
    void theFirstPauseKeepsAWatchGoingAndGatewaysThatFailTogetherDoNotComeBackTogether() {
        SplittableRandom random = new SplittableRandom(7);
        double least = Double.MAX_VALUE;
        double most = 0;
        for (int i = 0; i < 100; i++) {
            assertTrue(Watch.pauseMs(0, 14, random) < 200, "a later call begins a new watch");
            double third = Watch.pauseMs(3, 14, random);
            least = Math.min(least, third);
            most = Math.max(most, third);
        }
        assertTrue(most - least > 400, "all pauses lie between " + least + " and " + most);
    }
}
