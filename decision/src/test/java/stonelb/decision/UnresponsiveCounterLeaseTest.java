package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Leases while the counter does not answer, and after it answers again. */
class UnresponsiveCounterLeaseTest {
    /** Lets the calls of two customers time out, after which the counter counts as unresponsive. */
    private static void makeCounterUnresponsive(EngineScript script) {
        for (int i = 0; i < 2; i++) {
            for (int attempt = 0; attempt < 9 && script.countActions("add") <= i; attempt++) {
                script.request(1, 50 + i);
            }
            script.answerCounter(Outcome.TIMEOUT);
        }
    }

    @Test
    void anUnresponsiveCounterLeavesEachGatewayItsShareOfTheRate() {
        EngineScript script = LeaseScripts.script(10, 10);
        makeCounterUnresponsive(script);
        for (int i = 0; i < 40; i++) {
            script.request(1);
        }
        long first = script.sentRequests();
        assertTrue(first <= 8, first + " at once, where the share of the burst is 5");
        for (int i = 0; i < 40; i++) {
            script.advance(50).request(1);
        }
        long later = script.sentRequests() - first;
        assertTrue(later >= 8 && later <= 11, later + " in 2 s at 5 a second");
    }

    @Test
    void anUnresponsiveCounterIsReadBeforeUnitsAreAdded() {
        EngineScript script = LeaseScripts.script(10, 10);
        makeCounterUnresponsive(script);
        script.advance(600).request(1);
        assertEquals(0, script.lastCounterAmount());
        script.answerCounter(0).advance(200);
        script.request(1);
        assertTrue(script.sentRequests() >= 3);
    }

    @Test
    void aRequestLargerThanTheShareIsAdmittedWhileTheCounterIsUnresponsive() {
        EngineScript script = LeaseScripts.script(1, 6);
        makeCounterUnresponsive(script);
        script.advance(20_000);
        long sent = script.sentRequests();
        script.request(5);
        assertEquals(sent + 1, script.sentRequests(), "larger than the share of the burst, which is 3");
        script.request(5);
        assertEquals(sent + 1, script.sentRequests(), "one request at once, further ones at the share of the rate");
    }

    @Test
    void anUnresponsiveCounterLeavesOneRequestPerGatewayWhereTheShareIsSmaller() {
        EngineScript script = LeaseScripts.manyGateways();
        for (int i = 0; i < 2; i++) {
            script.request(2, 100 + i, 50);
            script.answerCounter(Outcome.TIMEOUT);
        }
        long sent = script.sentRequests();
        for (int i = 0; i < 6; i++) {
            script.request(2, 5, 50);
        }
        assertEquals(sent + 1, script.sentRequests());
    }

    /**
     * A counter that answers again with its former counts must not be taken for one that was reset and has counted as
     * many units since: busy customers would be rejected for the rest of their window.
     */
    @Test
    void countsKeptWhileTheCounterWasUnresponsiveAreNotADebt() {
        EngineScript script =
                new EngineScript(EngineScript.IDEMPOTENT, LeaseScripts.CEILING_PLAN, 0, 10).withEndpoints(10);
        makeCounterUnresponsive(script);
        script.advance(4000).request(1, 6, 9);
        script.answerCounter(0);
        long before = script.sentRequests();
        script.request(1, 5, 9);
        script.answerCounter(20).advance(600).request(1, 5, 9);
        assertEquals(
                before + 1, script.sentRequests(), "the quota is spent but not in debt, so a unit is refilled soon");
    }

    /** The same for a customer that the gateway knows, with a total that a reset counter could have reached. */
    @Test
    void aTotalThatHasNotFallenDoesNotIndicateACounterReset() {
        for (long customer = 5; ; customer++) {
            EngineScript script =
                    new EngineScript(EngineScript.IDEMPOTENT, LeaseScripts.CEILING_PLAN, 0, 10).withEndpoints(10);
            script.request(1, customer, 9);
            script.answerCounter(12);
            if (script.countActions("add") == 1) { // its window began recently, so no units expired
                script.answerCounter(Outcome.TIMEOUT)
                        .answerCounter(Outcome.TIMEOUT)
                        .advance(4000)
                        .request(1, 1, 9);
                script.answerCounter(0);
                long before = script.sentRequests();
                script.request(1, customer, 9);
                script.answerCounter(0);
                assertEquals(before + 1, script.sentRequests());
                return;
            }
        }
    }
}
