package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Leases while the counter is silent, and after it comes back. */
class SilentCounterLeaseTest {
    /** Two customers' calls unanswered: no accident. */
    private static void silence(EngineScript s) {
        for (int i = 0; i < 2; i++) {
            for (int k = 0; k < 9 && s.count("add") <= i; k++) {
                s.request(1, 50 + i);
            }
            s.counted(Outcome.TIMEOUT);
        }
    }

    @Test
    void aSilentCounterLeavesTheRateDividedByTheGateways() {
        EngineScript s = LeaseScripts.script(10, 10);
        silence(s);
        for (int i = 0; i < 40; i++) {
            s.request(1);
        }
        long first = s.sent();
        assertTrue(first <= 8, first + " of burst / width at once");
        for (int i = 0; i < 40; i++) {
            s.pass(50).request(1);
        }
        long later = s.sent() - first;
        assertTrue(later >= 8 && later <= 11, later + " in 2 s at 5 a second");
    }

    @Test
    void aSilentCounterIsReadBeforeAnythingIsAdded() {
        EngineScript s = LeaseScripts.script(10, 10);
        silence(s);
        s.pass(600).request(1);
        assertEquals(0, s.lastAmount());
        s.counted(0).pass(200);
        s.request(1);
        assertTrue(s.sent() >= 3);
    }

    @Test
    void aTryLargerThanAShareStillPassesInASilence() {
        EngineScript s = LeaseScripts.script(1, 6);
        silence(s);
        s.pass(20_000);
        long sent = s.sent();
        s.request(5);
        assertEquals(sent + 1, s.sent(), "burst / width is 3");
        s.request(5);
        assertEquals(sent + 1, s.sent(), "one try at most, then at the share's rate");
    }

    @Test
    void aSilentCounterLeavesAWideCustomerOneTryAGateway() {
        EngineScript s = LeaseScripts.sparse();
        for (int i = 0; i < 2; i++) {
            s.request(2, 100 + i, 50);
            s.counted(Outcome.TIMEOUT);
        }
        long sent = s.sent();
        for (int i = 0; i < 6; i++) {
            s.request(2, 5, 50);
        }
        assertEquals(sent + 1, s.sent());
    }

    /**
     * Guards against a counter that comes back from a silence with its counts, which would pass for one that was
     * emptied and has given out all of them since: busy customers would be refused for the rest of their window.
     */
    @Test
    void countsThatOutliveASilenceAreNoDebt() {
        EngineScript s = new EngineScript(EngineScript.SAFE, LeaseScripts.CEILED, 0, 10).servers(10);
        silence(s);
        s.pass(4000).request(1, 6, 9);
        s.counted(0);
        long before = s.sent();
        s.request(1, 5, 9);
        s.counted(20).pass(600).request(1, 5, 9);
        assertEquals(before + 1, s.sent(), "its unit is due soon: the store is spent, and not in debt");
    }

    /** The same where a gateway knows the customer, and the debt is not too deep to be one. */
    @Test
    void aTotalThatHasNotFallenInASilenceIsNotAnEmptiedOne() {
        for (long customer = 5; ; customer++) {
            EngineScript s = new EngineScript(EngineScript.SAFE, LeaseScripts.CEILED, 0, 10).servers(10);
            s.request(1, customer, 9);
            s.counted(12);
            if (s.count("add") == 1) { // its window is young: nothing expired
                s.counted(Outcome.TIMEOUT).counted(Outcome.TIMEOUT).pass(4000).request(1, 1, 9);
                s.counted(0);
                long before = s.sent();
                s.request(1, customer, 9);
                s.counted(0);
                assertEquals(before + 1, s.sent());
                return;
            }
        }
    }
}
