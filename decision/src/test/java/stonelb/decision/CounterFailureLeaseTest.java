package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Leases while the counter is overloaded or loses calls. */
class CounterFailureLeaseTest {
    /**
     * An overloaded counter may add the units of a call that timed out. If no request used them, the totals would show
     * the quota as spent too early.
     */
    @Test
    void unitsOfATimedOutCallServeTheNextRequestUnderACeiling() {
        EngineScript script =
                new EngineScript(EngineScript.IDEMPOTENT, LeaseScripts.CEILING_PLAN, 0, 10).withEndpoints(10);
        script.request(1, 5, 9);
        assertEquals(1, script.lastCounterAmount());
        script.answerCounter(Outcome.TIMEOUT);
        assertEquals(0, script.sentRequests(), "no total has shown that the quota covers the request");
        script.request(1, 5, 9);
        assertEquals(0, script.lastCounterAmount(), "the counter already includes the unit");
        script.answerCounter(1);
        assertEquals(1, script.sentRequests());
    }

    @Test
    void aCallThatTheCounterMissedLeasesNothingUnderACeiling() {
        EngineScript script =
                new EngineScript(EngineScript.IDEMPOTENT, LeaseScripts.CEILING_PLAN, 0, 10).withEndpoints(10);
        script.request(1, 5, 9);
        script.answerCounter(Outcome.TIMEOUT);
        script.request(1, 5, 9);
        script.answerCounter(0);
        assertEquals(0, script.sentRequests());
        assertEquals(1, script.lastCounterAmount(), "the total shows that the unit was not added");
        script.answerCounter(0).answerCounter(0); // the second answers the adjustment for expired units
        assertEquals(1, script.sentRequests());
    }

    @Test
    void anOverloadedCounterGetsFewerCallsForLargerBlocks() {
        EngineScript script = LeaseScripts.manyGateways();
        for (int i = 0; i < 6; i++) {
            script.request(2, 100 + i, 50);
            script.answerCounter(Outcome.REJECTED);
        }
        long callsBefore = script.countActions("add");
        for (int i = 0; i < 200; i++) {
            long id = script.request(1, 200 + i);
            script.endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 50);
        }
        assertTrue(script.countActions("add") - callsBefore < 60, script.countActions("add") - callsBefore + " of 200");
        assertTrue(script.lastCounterAmount() > 10, "a block covers the requests that made no call");
    }

    /** Fails if malformed answers or lost connections are taken for an overloaded or unresponsive counter. */
    @Test
    void aLostAnswerCountsAsAddedAndIsNotTakenForOverloadOrAnOutage() {
        EngineScript script = LeaseScripts.manyGateways();
        for (int i = 0; i < 6; i++) {
            script.request(2, 100 + i, 50);
            script.answerCounter(Outcome.RESET);
        }
        long callsBefore = script.countActions("add");
        for (int i = 0; i < 20; i++) {
            long id = script.request(2, 200 + i, 50);
            script.answerCounter(0).endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 50);
        }
        assertTrue(script.countActions("add") - callsBefore >= 20, script.countActions("add") - callsBefore + " of 20");
        EngineScript fewGateways = LeaseScripts.script(0.001, 10);
        fewGateways.request(1);
        double added = fewGateways.lastCounterAmount();
        fewGateways.answerCounter(Outcome.RESET);
        long callsBeforeNext = fewGateways.countActions("add");
        fewGateways.request(1);
        assertTrue(added > 1 && fewGateways.countActions("add") == callsBeforeNext, "the block counts as leased");
    }

    /** Fails if each of many gateways leases a block for uncounted requests although the quota is spent. */
    @Test
    void aSpentQuotaGrantsNoBlocksWhileTheCounterIsOverloaded() {
        EngineScript script = LeaseScripts.manyGateways();
        for (int i = 0; i < 6; i++) {
            long id = script.request(2, 100 + i, 50);
            script.answerCounter(Outcome.REJECTED).endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 50);
        }
        double units = 0;
        for (long callsBefore = script.countActions("add"); script.countActions("add") == callsBefore; units += 2) {
            long id = script.request(2, 5, 50);
            script.endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 50);
        }
        assertTrue(units > 2, "some requests were admitted uncounted");
        assertEquals(
                units, script.lastCounterAmount(), "the units of its requests, uncounted ones included, and no block");
        script.answerCounter(30).answerCounter(0).advance(50);
        long sent = script.sentRequests();
        for (int i = 0; i < 10; i++) {
            long id = script.request(2, 5, 50);
            script.endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 50);
        }
        assertTrue(
                script.sentRequests() <= sent + 3,
                script.sentRequests() - sent + " requests of 2 units, where the quota has 6 at most");
    }
}
