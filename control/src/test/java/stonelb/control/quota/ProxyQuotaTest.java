package stonelb.control.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonelb.control.quota.QuotaSimulation.BURST;
import static stonelb.control.quota.QuotaSimulation.ENDPOINTS;
import static stonelb.control.quota.QuotaSimulation.KEY;
import static stonelb.control.quota.QuotaSimulation.PROXIES;
import static stonelb.control.quota.QuotaSimulation.RATE;

import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;

/** Tests the quotas of proxies on a virtual clock, with an emulated counter and emulated proxies. */
class ProxyQuotaTest {
    private static final int STEPS = 1500;
    private static final double STEP_MS = 20;
    private static final int STEPS_PER_SECOND = 50;

    /**
     * The quota of {@code ms}, plus the excess that docs/design/control.md allows: a burst that proxies get without
     * asking the counter, a burst of local shares while the counter is unavailable or its window changes, and one
     * request for each proxy.
     */
    private static double maxUnits(double ms) {
        return BURST + RATE * ms / 1000 + 2 * BURST + PROXIES;
    }

    /** Asserts that use and unexpired leases together stay within the quota and its allowed excess. */
    private static void assertWithinQuota(QuotaSimulation simulation, double startedAt) {
        assertTrue(
                simulation.sent() + simulation.leasedUnits() <= maxUnits(simulation.now - startedAt),
                () -> "sent " + simulation.sent() + " leased " + simulation.leasedUnits() + " after "
                        + (simulation.now - startedAt));
    }

    @Property(tries = 25, seed = "20261")
    void allProxiesTogetherStayWithinTheQuota(@ForAll long seed) {
        QuotaSimulation simulation = new QuotaSimulation();
        Random random = new Random(seed);
        double startedAt = simulation.now;
        int busyProxy = 0;
        double[] sent = new double[STEPS];
        double[] direct = new double[STEPS];
        double[] comparison = new double[STEPS];
        for (int step = 0; step < STEPS; step++) {
            simulation.runFor(STEP_MS);
            if (random.nextInt(100) == 0) {
                busyProxy = random.nextInt(PROXIES);
            }
            if (random.nextInt(6) == 0) { // about 8 a second, four times the quota
                simulation.requestArrives(random.nextInt(3) == 0 ? random.nextInt(PROXIES) : busyProxy);
            }
            if (step % 5 == 0) {
                for (int i = 0; i < PROXIES; i++) {
                    simulation.report(i);
                    simulation.quotas.get(i).removeIdle();
                }
            }
            assertWithinQuota(simulation, startedAt);
            sent[step] = simulation.sent();
            direct[step] = simulation.sentDirectly();
            comparison[step] = simulation.sentByComparison();
        }
        double difference = maxDifference(direct, sent);
        assertTrue(
                difference <= 2.5 * BURST,
                () -> "proxies and direct gateways differ by " + difference
                        + " units beyond a lag of 1 s; two direct runs differ by " + maxDifference(direct, comparison));
        double total = simulation.sent();
        assertTrue(
                total > 0.7 * (BURST + RATE * 30),
                "less than 70 % of the quota was used despite enough demand: " + total);
    }

    /** The largest difference between two series of totals, where one may lag or lead the other by a second. */
    private static double maxDifference(double[] direct, double[] compared) {
        double difference = 0;
        for (int step = STEPS_PER_SECOND; step + STEPS_PER_SECOND < compared.length; step++) {
            double lag = direct[step - STEPS_PER_SECOND] - compared[step];
            double lead = compared[step] - direct[step + STEPS_PER_SECOND];
            difference = Math.max(difference, Math.max(lag, lead));
        }
        return difference;
    }

    @Test
    void leaseOfDisconnectedProxyIsNotReassignedBeforeItExpires() {
        QuotaSimulation simulation = new QuotaSimulation();
        double startedAt = simulation.now;
        for (int i = 0; i < 40; i++) {
            simulation.runFor(50);
            simulation.requestArrives(0);
            simulation.requestArrives(1);
        }
        simulation.runFor(4000); // the burst refills, so that the proxy can hold credit
        simulation.requestArrives(0);
        simulation.report(0);
        simulation.runFor(60);
        simulation.proxies.get(0).disconnected = true;
        double assignedUntil = simulation.proxies.get(0).expiresAt;
        double disconnectedAt = simulation.now;
        ProxyQuota disconnectedQuota = simulation.quotas.get(0);
        disconnectedQuota.setReachable(false);
        simulation.runFor(60); // lets pending responses of the counter arrive
        double leased = disconnectedQuota.leasedUnits(KEY.customer());
        while (simulation.now < disconnectedAt + 10_000) {
            simulation.runFor(50);
            simulation.requestArrives(1);
            simulation.quotas.forEach(ProxyQuota::removeIdle);
            if (simulation.now < assignedUntil) {
                assertEquals(
                        leased,
                        disconnectedQuota.leasedUnits(KEY.customer()),
                        "the lease of the disconnected proxy stays outstanding until it expires");
            }
            assertWithinQuota(simulation, startedAt);
        }
        assertEquals(0, disconnectedQuota.leasedUnits(KEY.customer()));
        double sentBefore = simulation.proxies.get(1).totalSent;
        double directBefore = simulation.directGateways.get(1).forwarded();
        for (int i = 0; i < 200; i++) {
            simulation.runFor(50);
            simulation.requestArrives(1);
        }
        double sent = simulation.proxies.get(1).totalSent - sentBefore;
        double direct = simulation.directGateways.get(1).forwarded() - directBefore;
        assertTrue(
                sent >= 0.7 * direct,
                "connected proxy gets too little of the released quota: " + sent + " of " + direct);
    }

    @Test
    void unresponsiveCounterLimitsProxiesToTheirLocalShares() {
        QuotaSimulation simulation = new QuotaSimulation();
        Runnable assertNotAboveDirect = () -> assertTrue(
                simulation.sent() + simulation.leasedUnits() <= simulation.sentDirectly() + BURST + PROXIES,
                () -> "sent " + simulation.sent() + " leased " + simulation.leasedUnits() + " directly "
                        + simulation.sentDirectly() + " at " + simulation.now);
        simulation.counterUnresponsive = true;
        simulation.traffic(600, assertNotAboveDirect);
        assertTrue(
                simulation.sent() >= BURST / 2,
                "proxies sent less than half a burst without the counter: " + simulation.sent());
        simulation.counterUnresponsive = false;
        simulation.traffic(600, assertNotAboveDirect);
    }

    /** After the machine was suspended or its clock set forward, leases have expired and the gap adds no quota. */
    @Test
    void clockJumpGrantsAtMostOneBurst() {
        QuotaSimulation simulation = new QuotaSimulation();
        double startedAt = simulation.now;
        simulation.traffic(200, () -> assertWithinQuota(simulation, startedAt));
        simulation.now += 3_600_000;
        double jumpedAt = simulation.now;
        double sentBefore = simulation.sent();
        double directBefore = simulation.sentDirectly();
        simulation.traffic(
                300,
                () -> assertTrue(
                        simulation.sent() - sentBefore + simulation.leasedUnits()
                                <= maxUnits(simulation.now - jumpedAt),
                        () -> "sent " + (simulation.sent() - sentBefore) + " leased " + simulation.leasedUnits()
                                + " after " + (simulation.now - jumpedAt)));
        double sent = simulation.sent() - sentBefore;
        double direct = simulation.sentDirectly() - directBefore;
        assertTrue(
                sent >= direct / 2, "quota is not granted after the clock jump: sent " + sent + ", directly " + direct);
    }

    @Test
    void implausibleReportsAreLimitedToTheLease() {
        QuotaSimulation simulation = new QuotaSimulation();
        ProxyQuota quota = simulation.quotas.get(0);
        assertNull(quota.usageReported(KEY, 1, 0, 10));
        simulation.runFor(100);
        long granted = quota.bucketStatuses().get(0).granted();
        assertNotNull(quota.usageReported(KEY, -1, 0, 100));
        assertNotNull(quota.usageReported(KEY, 5, -7, 100));
        assertNotNull(quota.usageReported(KEY, 1, 0, -5));
        assertEquals(granted, quota.bucketStatuses().get(0).granted(), "a rejected report must not grant credit");
        assertNotNull(quota.usageReported(KEY, 1L << 40, 0, 100));
        long used = quota.bucketStatuses().get(0).used();
        assertTrue(used <= granted + 2 * BURST, "an implausibly large count exceeds the limit of a burst: " + used);
        for (int i = 0; i < 50; i++) {
            quota.usageReported(KEY, 2, 0, 1000); // the same report 50 times without any time passing
        }
        int implausible = simulation.implausibleReports.size();
        assertTrue(implausible >= 40, "too few of the duplicate reports were passed to the callback: " + implausible);
        BucketStatus status = quota.bucketStatuses().get(0);
        assertTrue(status.used() <= Math.max(used, status.granted()) + 2 * BURST);
    }

    @Test
    void restartedServiceGrantsNothingOnTopOfLiveLeases() {
        QuotaSimulation simulation = new QuotaSimulation();
        double startedAt = simulation.now;
        simulation.traffic(200, () -> {});
        simulation.restartService();
        simulation.traffic(
                500,
                () -> assertTrue(
                        simulation.sent() + simulation.leasedUnits() <= maxUnits(simulation.now - startedAt) + BURST,
                        () -> "sent " + simulation.sent() + " after " + (simulation.now - startedAt)));
    }

    @Test
    void weightsFollowEngineChoicesAndColdEndpointStartsLow() {
        QuotaSimulation simulation = new QuotaSimulation();
        ProxyQuota quota = simulation.quotas.get(0);
        for (int i = 0; i < 300; i++) {
            simulation.runFor(10);
            for (int endpoint = 1; endpoint <= ENDPOINTS; endpoint++) {
                quota.loadReported(endpoint, 1, 0, 1, endpoint == 3 ? 900 : 30, 1);
            }
            quota.usageReported(new BucketKey(1000 + i, 0, 1, 1, Map.of()), 0, 3, 10);
            if (i % 50 == 0) {
                quota.weights();
            }
        }
        Map<Long, Integer> weights = quota.weights();
        assertTrue(weights.get(3L) < 0.7 * weights.get(1L), "the slow endpoint has too much weight: " + weights);
        quota.endpointsChanged(
                EndpointListType.DELTA,
                List.of(
                        new Endpoint(9, EndpointState.READY, simulation.now, 1, 0, 0),
                        new Endpoint(2, EndpointState.DRAINING, 0, 1, 0, 0)));
        weights = quota.weights();
        assertTrue(
                weights.get(9L) <= 0.4 * weights.get(1L), "the endpoint in slow start has too much weight: " + weights);
        assertTrue(!weights.containsKey(2L), "a draining endpoint must have no weight");
    }
}
