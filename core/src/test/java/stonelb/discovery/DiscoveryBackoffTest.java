package stonelb.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stonelb.decision.DecisionSettings;

/** The backoff between requests to a failing discovery service. */
class DiscoveryBackoffTest {
    private static final int[] GATEWAY_COUNTS = {1, 14, 200};

    /** The shortest time within which requests to a draining endpoint must cease. */
    private static final double MIN_DRAIN_MS = 250;

    /** The requests per second of all gateways together, from 300 s after all begin to fail at the same time. */
    private static double requestsPerSecond(int gateways) {
        SplittableRandom seeds = new SplittableRandom(5);
        int requests = 0;
        for (int gateway = 0; gateway < gateways; gateway++) {
            SplittableRandom random = seeds.split();
            double timeMs = 0;
            for (int failures = 0; timeMs < 600_000; failures++) {
                timeMs += DiscoveryBackoff.delayMs(failures, gateways, random);
                requests += timeMs > 300_000 ? 1 : 0;
            }
        }
        return requests / 300.0;
    }

    /**
     * The total is a few requests per second while the maximum backoff allows it. With more gateways the maximum, which
     * is the acceptable delay of a change, determines the rate of each.
     */
    @Test
    void requestRateOfAllGatewaysIsLimited() {
        for (int gateways : GATEWAY_COUNTS) {
            double rate = requestsPerSecond(gateways);
            assertTrue(
                    rate < Math.max(10, 0.85 * gateways), gateways + " gateways send " + rate + " requests per second");
            assertTrue(
                    rate > 1, gateways + " gateways send " + rate + " requests per second: changes would be delayed");
        }
    }

    /** A change must be received within 6 s; the requests themselves need the time that the backoff leaves. */
    @Test
    void backoffNeverExceedsMaximum() {
        SplittableRandom random = new SplittableRandom(8);
        for (int gateways : GATEWAY_COUNTS) {
            for (int failures = 0; failures < 100; failures++) {
                double backoffMs = DiscoveryBackoff.delayMs(failures, gateways, random);
                assertTrue(backoffMs <= 2500, gateways + " gateways, after " + failures + " failures: " + backoffMs);
            }
        }
    }

    @Test
    void firstDelayIsShortAndLaterDelaysAreSpreadOut() {
        SplittableRandom random = new SplittableRandom(7);
        double shortestMs = Double.MAX_VALUE;
        double longestMs = 0;
        for (int i = 0; i < 100; i++) {
            assertTrue(DiscoveryBackoff.delayMs(0, 14, random) < 200, "a request after 200 ms begins a new watch");
            double fourthDelayMs = DiscoveryBackoff.delayMs(3, 14, random);
            shortestMs = Math.min(shortestMs, fourthDelayMs);
            longestMs = Math.max(longestMs, fourthDelayMs);
        }
        assertTrue(longestMs - shortestMs > 400, "all delays lie between " + shortestMs + " and " + longestMs);
    }

    /**
     * During the backoff the gateway does not notice that an endpoint drains, and would continue to send it requests.
     */
    @Test
    void backoffForLocalAgentIsNoLongerThanDrain() {
        SplittableRandom random = new SplittableRandom(9);
        for (int failures = 0; failures < 100; failures++) {
            double backoffMs = DiscoveryBackoff.delayMs(failures, DiscoveryClient.clientCount(settings(false)), random);
            assertTrue(backoffMs <= MIN_DRAIN_MS, "after " + failures + " failures the backoff is " + backoffMs);
        }
        assertEquals(200, DiscoveryClient.clientCount(settings(true)), "all gateways use a shared service");
    }

    private static DecisionSettings settings(boolean onRequest) {
        return new DecisionSettings(200, List.of(), List.of(), null, null, null, 2, onRequest, false, 1);
    }
}
