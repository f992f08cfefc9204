package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The state objects of quotas, leases and the counter. */
class QuotaStateTest {
    @Test
    void anEstimateIsUnknownUntilItsFirstUpdate() {
        QuotaEstimate estimate = new QuotaEstimate();
        assertFalse(estimate.isKnown());
        assertTrue(estimate.isBefore(0));
        assertEquals(Double.POSITIVE_INFINITY, estimate.ageMs(5));
        estimate.update(10, 4);
        assertTrue(estimate.isKnown());
        assertEquals(4, estimate.units());
        assertEquals(5, estimate.ageMs(15));
        assertEquals(Double.POSITIVE_INFINITY, estimate.overdrawnAgeMs(15));
        estimate.update(20, -1);
        estimate.update(30, 1);
        estimate.invalidate();
        assertFalse(estimate.isKnown());
        assertEquals(15, estimate.overdrawnAgeMs(35));
    }

    @Test
    void payingADebtAddsNoUnitsBeyondIt() {
        LeaseBalance balance = new LeaseBalance(0, 1);
        balance.add(-3);
        balance.payDebt(2);
        assertEquals(-1, balance.unspent());
        balance.payDebt(5);
        assertEquals(0, balance.unspent());
        balance.add(4);
        balance.payDebt(5);
        assertEquals(4, balance.unspent());
    }

    @Test
    void droppingOrReturningUnitsLeavesADebtUnchanged() {
        LeaseBalance balance = new LeaseBalance(0, 1);
        balance.add(4);
        balance.returnUnits(1);
        assertEquals(3, balance.unspent());
        balance.returnUnits(9);
        assertEquals(0, balance.unspent());
        balance.add(4);
        balance.dropUnspent();
        assertEquals(0, balance.unspent());
        balance.add(-2);
        balance.dropUnspent();
        assertEquals(-2, balance.unspent());
    }

    @Test
    void usageAndRequestSizeAreSmoothed() {
        LeaseBalance balance = new LeaseBalance(100, 2);
        balance.recordUsage(4, 0.5, 0.25);
        assertEquals(2.5, balance.meanUnits());
        assertEquals(0.5, balance.unitsPerMs());
        balance.decayUsage(0.5);
        assertEquals(0.25, balance.unitsPerMs());
        assertEquals(50, balance.refresh(150));
        assertEquals(150, balance.refreshedAtMs());
    }

    @Test
    void aHigherPeakIsReportedAtOnceAndALowerOneAfterADelay() {
        PeakReport report = new PeakReport();
        report.attemptAdmitted();
        report.attemptSent();
        assertTrue(report.isHigherReportDue());
        assertEquals(1, report.startReport(false, 250));
        report.reportAdded(1, 4);
        assertEquals(3, report.inFlightElsewhere());
        assertFalse(report.isHigherReportDue());
        report.attemptEnded();
        assertFalse(report.isLowerReportDue(249));
        assertTrue(report.isLowerReportDue(250));
        assertEquals(-1, report.startReport(true, 500));
        assertEquals(0, report.inFlight());
    }

    @Test
    void anAnswerResetsTheConsecutiveTimeouts() {
        CounterState state = new CounterState();
        state.timedOut(10, 510);
        state.timedOut(20, 520);
        assertEquals(2, state.consecutiveTimeouts());
        assertEquals(10, state.unresponsiveSinceMs());
        assertEquals(520, state.nextCallAtMs());
        state.answered();
        assertEquals(0, state.consecutiveTimeouts());
        state.timedOut(30, 530);
        assertEquals(30, state.unresponsiveSinceMs());
    }
}
