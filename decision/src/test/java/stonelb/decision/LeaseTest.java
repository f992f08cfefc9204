package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Blocks of units leased from the counter while it responds. */
class LeaseTest {
    @Test
    void theFirstRequestIsAdmittedAtOnceAndABlockIsRequested() {
        EngineScript script = LeaseScripts.script(1, 10);
        script.request(1);
        assertEquals(1, script.sentRequests());
        assertEquals(1, script.countActions("add"));
        assertTrue(script.lastCounterAmount() > 1, "the units used and a block");
    }

    @Test
    void theShareOfTheBurstIsAdmittedBeforeTheCounterAnswers() {
        EngineScript script = LeaseScripts.script(0.001, 10);
        for (int i = 0; i < 20; i++) {
            script.request(1);
        }
        assertEquals(5, script.sentRequests());
    }

    @Test
    void unitsBeyondTheQuotaAreReturnedAndFurtherRequestsRejected() {
        EngineScript script = LeaseScripts.script(0.001, 10);
        script.request(1);
        double requested = script.lastCounterAmount();
        script.answerCounter(9);
        assertEquals(-(requested - 1), script.lastCounterAmount(), 0.1);
        script.answerCounter(0);
        long sent = script.sentRequests();
        script.request(1);
        assertEquals(sent, script.sentRequests());
    }

    @Test
    void returnedUnitsAreCreditedOnce() {
        EngineScript script = LeaseScripts.script(0.001, 10);
        script.request(1);
        script.answerCounter(30);
        for (int i = 0; i < 3; i++) {
            script.answerCounter(0);
            script.request(1);
        }
        assertEquals(1, script.sentRequests(), "the quota is still spent");
    }

    @Test
    void aTotalLoweredByOtherGatewaysIsNotTakenForACounterReset() {
        EngineScript script = LeaseScripts.script(0.001, 10);
        script.request(1);
        script.answerCounter(4);
        for (int i = 0; i < 3; i++) {
            script.request(1);
        }
        script.answerCounter(-3);
        long sent = script.sentRequests();
        script.request(1);
        assertEquals(sent + 1, script.sentRequests());
    }

    @Test
    void useSinceTheLastAnswerIsChargedToTheRefillSinceThen() {
        EngineScript script = LeaseScripts.script(1, 10);
        script.request(1);
        script.answerCounter(0).advance(10_000);
        if (script.lastCounterAmount() < 0) {
            script.answerCounter(0);
        }
        script.request(1);
        script.answerCounter(9); // less than the 10 units refilled meanwhile: the quota is still nearly full
        long sent = script.sentRequests();
        for (int i = 0; i < 2; i++) {
            script.request(1);
        }
        assertEquals(sent + 2, script.sentRequests());
    }

    @Test
    void aTotalFarBeyondTheQuotaDoesNotBlockLaterRequests() {
        EngineScript script = LeaseScripts.script(2, 4);
        script.request(2);
        script.answerCounter(20).answerCounter(0).advance(2500);
        long sent = script.sentRequests();
        for (int i = 0; i < 4; i++) {
            script.request(1);
            if (script.countActions("add") > 0) {
                script.answerCounter(0);
            }
        }
        assertTrue(script.sentRequests() > sent, "the units refilled since then may be used");
    }

    @Test
    void instancesShareNoState() {
        EngineScript first = LeaseScripts.script(1, 6);
        EngineScript second = LeaseScripts.script(1, 6);
        for (int i = 0; i < 10; i++) {
            first.request(1);
        }
        for (int i = 0; i < 10; i++) {
            second.request(1);
        }
        assertEquals(first.actions, second.actions);
    }

    @Test
    void aPlanWithoutAQuotaMakesNoCounterCalls() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED)
                .withEndpoints(4)
                .completeRequests(5, 50);
        assertEquals(0, script.countActions("add "), "a call would have no finite amount");
    }

    @Test
    void aPlanThatAdmitsBeyondItsQuotaMakesNoCounterCalls() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, new Plan(2, 4, 0, 0, 0, 1, 0.2, 0))
                .withEndpoints(4)
                .completeRequests(9, 50);
        assertEquals(9, script.sentRequests());
        assertEquals(0, script.countActions("add "), "the decision does not depend on the total");
    }
}
