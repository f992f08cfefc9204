package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Leased blocks of quota on the counter. */
class LeaseTest {
    @Test
    void theFirstTryPassesAtOnceAndAsksForABlock() {
        EngineScript s = LeaseScripts.script(1, 10);
        s.request(1);
        assertEquals(1, s.sent());
        assertEquals(1, s.count("add"));
        assertTrue(s.lastAmount() > 1, "what was used and more");
    }

    @Test
    void anUncountedCustomerGetsItsPartOfTheBurst() {
        EngineScript s = LeaseScripts.script(0.001, 10);
        for (int i = 0; i < 20; i++) {
            s.request(1);
        }
        assertEquals(5, s.sent());
    }

    @Test
    void whatTheTotalDoesNotLeaveIsAddedBackAndTheRestRefused() {
        EngineScript s = LeaseScripts.script(0.001, 10);
        s.request(1);
        double asked = s.lastAmount();
        s.counted(9);
        assertEquals(-(asked - 1), s.lastAmount(), 0.1);
        s.counted(0);
        long sent = s.sent();
        s.request(1);
        assertEquals(sent, s.sent());
    }

    @Test
    void whatGoesBackIsCreditedOnce() {
        EngineScript s = LeaseScripts.script(0.001, 10);
        s.request(1);
        s.counted(30);
        for (int i = 0; i < 3; i++) {
            s.counted(0);
            s.request(1);
        }
        assertEquals(1, s.sent(), "the store is still spent");
    }

    @Test
    void othersHandingBackIsNotACounterComeBackEmpty() {
        EngineScript s = LeaseScripts.script(0.001, 10);
        s.request(1);
        s.counted(4);
        for (int i = 0; i < 3; i++) {
            s.request(1);
        }
        s.counted(-3);
        long sent = s.sent();
        s.request(1);
        assertEquals(sent + 1, s.sent());
    }

    @Test
    void useSinceTheLastAnswerComesOutOfTheGainSinceThen() {
        EngineScript s = LeaseScripts.script(1, 10);
        s.request(1);
        s.counted(0).pass(10_000);
        if (s.lastAmount() < 0) {
            s.counted(0);
        }
        s.request(1);
        s.counted(9); // within the 10 units gained meanwhile: the store is still nearly full
        long sent = s.sent();
        for (int i = 0; i < 2; i++) {
            s.request(1);
        }
        assertEquals(sent + 2, s.sent());
    }

    @Test
    void aDebtThatNothingCoversIsForgiven() {
        EngineScript s = LeaseScripts.script(2, 4);
        s.request(2);
        s.counted(20).counted(0).pass(2500);
        long sent = s.sent();
        for (int i = 0; i < 4; i++) {
            s.request(1);
            if (s.count("add") > 0) {
                s.counted(0);
            }
        }
        assertTrue(s.sent() > sent, "the rate since then may be used");
    }

    @Test
    void twoInstancesShareNothing() {
        EngineScript a = LeaseScripts.script(1, 6);
        EngineScript b = LeaseScripts.script(1, 6);
        for (int i = 0; i < 10; i++) {
            a.request(1);
        }
        for (int i = 0; i < 10; i++) {
            b.request(1);
        }
        assertEquals(a.actions, b.actions);
    }

    @Test
    void aPlanWithNoQuotaCallsNoCounter() {
        EngineScript s = new EngineScript(EngineScript.SAFE, EngineScript.OPEN)
                .servers(4)
                .served(5, 50);
        assertEquals(0, s.count("add "), "its amount would be no number");
    }

    @Test
    void aPlanThatPassesBeyondItsQuotaTooCallsNoCounter() {
        EngineScript s = new EngineScript(EngineScript.SAFE, new Plan(2, 4, 0, 0, 0, 1, 0.2, 0))
                .servers(4)
                .served(9, 50);
        assertEquals(9, s.sent());
        assertEquals(0, s.count("add "), "nothing hangs on the answer");
    }
}
