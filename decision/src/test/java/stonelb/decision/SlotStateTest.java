package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The counts that slot allocation is based on. */
class SlotStateTest {
    @Test
    void attemptsBeyondAReserveUseSharedSlots() {
        SlotCounts counts = new SlotCounts(2);
        counts.setReserves(new int[] {2, 3});
        assertEquals(5, counts.freeShared(10));
        for (int attempt = 0; attempt < 4; attempt++) {
            counts.acquire(0);
        }
        assertEquals(-2, counts.freeReserved(0));
        assertEquals(3, counts.freeReserved(1));
        assertEquals(3, counts.freeShared(10));
        assertEquals(4, counts.totalInFlight());
        counts.release(0);
        assertEquals(4, counts.freeShared(10));
        assertArrayEquals(new int[] {7, 8}, counts.limits(10));
    }

    @Test
    void everyTierMayHaveOneAttempt() {
        SlotCounts counts = new SlotCounts(2);
        counts.setReserves(new int[] {0, 3});
        assertArrayEquals(new int[] {1, 3}, counts.limits(3));
    }

    @Test
    void demandIsSmoothedOverPeriods() {
        TierDemand demand = new TierDemand(2, 0.5, 0.3);
        demand.arrived(1, 4);
        demand.arrived(1, 8);
        demand.endPeriod(1000);
        assertArrayEquals(new double[] {0, 0.002}, demand.arrivalRates(), 1e-12);
        assertArrayEquals(new double[] {0, 6}, demand.meanValues(), 1e-12);
        demand.endPeriod(1000);
        assertArrayEquals(new double[] {0, 0.001}, demand.arrivalRates(), 1e-12);
        assertArrayEquals(new double[] {0, 6}, demand.meanValues(), 1e-12);
    }

    @Test
    void responsesAreCountedSinceTheReset() {
        ResponseCounts counts = new ResponseCounts();
        counts.responded(true);
        counts.responded(false);
        counts.sampleInFlight(7);
        counts.sampleInFlight(3);
        assertEquals(2, counts.responses());
        assertEquals(1, counts.congested());
        assertEquals(7, counts.peakInFlight());
        counts.reset(100);
        assertEquals(20, counts.ageMs(120));
        assertEquals(0, counts.responses() + counts.congested() + counts.peakInFlight());
    }
}
