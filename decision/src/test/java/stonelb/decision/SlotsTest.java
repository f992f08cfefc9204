package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

/** The slot limit and the requests that it rejects. */
class SlotsTest {

    /** Every 50 ms, answers ten requests with the given latency and offers twenty. */
    private static void offerRequests(EngineScript script, Deque<Long> inFlight, int rounds, double latencyMs) {
        offerRequests(script, inFlight, rounds, latencyMs, 1);
    }

    private static void offerRequests(
            EngineScript script, Deque<Long> inFlight, int rounds, double latencyMs, double units) {
        for (int i = 0; i < rounds; i++) {
            for (int k = 0; k < 10 && !inFlight.isEmpty(); k++) {
                long id = inFlight.remove();
                script.endAttempt(id, 0, script.endpointOf(id), Outcome.OK, latencyMs);
            }
            for (int k = 0; k < 20; k++) {
                long id = script.request(units);
                if (script.endpointOf(id) != 0) {
                    inFlight.add(id);
                }
            }
            script.advance(50);
        }
    }

    @Test
    void arrivalsBeyondTheLimitAreRejectedImmediatelyWithRetryAfter() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(4);
        for (int i = 0; i < 20; i++) {
            script.request(1);
        }
        assertEquals(11, script.sentRequests(), "a mean of 6 plus two standard deviations");
        assertEquals(
                9,
                script.actions.stream()
                        .filter(action -> action.startsWith("refuse ") && action.endsWith(" after 500.0"))
                        .count());
    }

    @Test
    void aGatewayWithASmallShareOfTheFleetAllowsForRandomVariation() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED, 0, 40).withEndpoints(4);
        for (int i = 0; i < 6; i++) {
            script.request(1);
        }
        assertEquals(2, script.sentRequests(), "its share of the fleet is less than one slot");
    }

    @Test
    void theLimitRisesWithoutCongestion() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(4);
        Deque<Long> inFlight = new ArrayDeque<>();
        offerRequests(script, inFlight, 40, 50);
        assertTrue(inFlight.size() > 30, inFlight.size() + " in flight");
    }

    /** Fails if slow endpoints shrink the limit below its start: gateways would reject by chance with endpoints idle. */
    @Test
    void theLimitStaysAtItsStartIfAllEndpointsAreSlow() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(4);
        Deque<Long> inFlight = new ArrayDeque<>();
        offerRequests(script, inFlight, 60, 600);
        while (inFlight.size() > 0) {
            long id = inFlight.remove();
            script.endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 600);
        }
        long before = script.sentRequests();
        for (int i = 0; i < 20; i++) {
            script.request(1);
        }
        assertEquals(11, script.sentRequests() - before, "a mean of 6 plus two standard deviations");
    }

    @Test
    void aTimedOutAttemptFreesItsSlotAndIsHedged() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED, 0, 40)
                .withEndpoints(4)
                .completeRequests(40, 50);
        long sent = script.sentRequests();
        long stuck = script.request(1);
        long first = script.endpointOf(stuck);
        script.advance(500);
        assertTrue(script.endpointOf(stuck) != first, "hedged after several expected times");
        script.advance(500);
        for (int i = 0; i < 6; i++) {
            script.request(1);
        }
        assertTrue(script.sentRequests() - sent >= 2, "timed-out attempts hold no slots");
    }

    @Test
    void anEndpointThatRespondsToOthersGetsALongerTimeout() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED, 0, 2)
                .withEndpoints(1)
                .completeRequests(60, 30);
        long slow = script.request(1);
        long other = script.request(1);
        script.advance(50).endAttempt(other, 0, 1, Outcome.OK, 30);
        script.updateEndpoints(EngineScript.endpoint(2, EndpointState.READY, 0, 0))
                .advance(300);
        assertEquals(1, script.endpointOf(slow), "not hedged while the endpoint responds to others");
        script.advance(500);
        assertEquals(2, script.endpointOf(slow));
    }

    @Test
    void aRequestWithTooLittleTimeLeftIsRejectedBeforeItCostsQuota() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.planWithRate(100, 1000))
                .withEndpoints(4)
                .completeRequests(60, 100);
        script.answerCounter(0);
        long sent = script.sentRequests();
        long counterCalls = script.countActions("add");
        int probes = 0;
        for (int i = 0; i < 200; i++) {
            long id = script.request(1, 5, 2, 120);
            boolean wasSent = script.endpointOf(id) != 0;
            probes += wasSent ? 1 : 0;
            script.endAttempt(id, 0, script.endpointOf(id), Outcome.TIMEOUT, 120);
            assertTrue(wasSent || script.actions.contains("refuse " + id + " after 1000.0"));
        }
        assertTrue(probes > 0 && probes < 30, probes + " of 200 sent as probes");
        assertEquals(sent + probes, script.sentRequests());
        assertTrue(script.countActions("add") <= counterCalls + probes, "nothing is leased for rejected requests");
        assertTrue(script.endpointOf(script.request(1)) != 0, "a request with enough time left is sent");
    }

    @Test
    void theExpectedTimeOfARequestScalesWithItsUnits() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED)
                .withEndpoints(4)
                .completeRequests(60, 100);
        int large = 0;
        int small = 0;
        for (int i = 0; i < 50; i++) {
            long id = script.request(8);
            large += script.endpointOf(id) != 0 ? 1 : 0;
            long other = script.request(2);
            small += script.endpointOf(other) != 0 ? 1 : 0;
            script.endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 800)
                    .endAttempt(other, 0, script.endpointOf(other), Outcome.OK, 200);
        }
        assertEquals(50, small);
        assertTrue(large < 15, large + " of 50 that take 800 of 1000 ms were sent");
    }

    @Test
    void noRequestIsShedWhileServiceTimesAreUnknown() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(4);
        assertTrue(script.endpointOf(script.request(8)) != 0);
    }

    @Test
    void largeRequestsAndClientTimeoutsAreNoCongestion() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED)
                .withEndpoints(4)
                .completeRequests(60, 100);
        for (int i = 0; i < 60; i++) {
            long id = script.request(5);
            script.advance(250)
                    .endAttempt(id, 0, script.endpointOf(id), i % 2 == 0 ? Outcome.OK : Outcome.TIMEOUT, 500);
        }
        long sent = script.sentRequests();
        for (int i = 0; i < 60; i++) {
            script.request(1);
        }
        assertTrue(script.sentRequests() - sent >= 11, script.sentRequests() - sent + " slots left of the initial 11");
    }

    @Test
    void aTimedOutRequestIsRejectedBeforeItsDeadlineWithRetryAfter() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED, 0, 2, false)
                .withEndpoints(4)
                .completeRequests(80, 130);
        long id = script.request(1);
        script.advance(900);
        assertEquals(0, script.countActions("refuse " + id + " "), "its attempt may still be in time");
        script.advance(50);
        assertEquals(1, script.countActions("cancel " + id + " 0"));
        assertEquals(1, script.countActions("refuse " + id + " after 500.0"), "not held until its deadline");
        script.endAttempt(id, 0, script.endpointOf(id), Outcome.CANCELLED, 900).advance(2500);
        assertEquals(1, script.countActions("refuse " + id + " "));
        assertEquals(1, script.countActions("forward " + id + " "));
    }

    @Test
    void theLimitOfAGatewayWithASmallShareOfTheFleetRisesInSmallSteps() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED, 0, 40).withEndpoints(4);
        Deque<Long> inFlight = new ArrayDeque<>();
        offerRequests(script, inFlight, 30, 50);
        assertTrue(
                inFlight.size() <= 6,
                inFlight.size() + " in flight; a whole slot more at each of 40 gateways is 10 more per endpoint");
    }

    @Test
    void slowLargeRequestsAreCongestion() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED)
                .withEndpoints(4)
                .completeRequests(60, 100);
        Deque<Long> inFlight = new ArrayDeque<>();
        offerRequests(script, inFlight, 60, 650, 2);
        assertTrue(inFlight.size() <= 12, inFlight.size() + " in flight, though two units took 200 ms before");
    }

    @Test
    void congestionReducesTheLimitByThreeTenthsAtATime() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(4);
        Deque<Long> inFlight = new ArrayDeque<>();
        offerRequests(script, inFlight, 40, 50);
        int before = inFlight.size();
        offerRequests(script, inFlight, 7, 600);
        assertTrue(inFlight.size() < 0.76 * before, inFlight.size() + " out of " + before);
        assertTrue(inFlight.size() > 0.5 * before, inFlight.size() + " out of " + before);
    }

    /** Fails if the slots of a lost zone remain: they would overload the other endpoints until responses show it. */
    @Test
    void theLimitFallsWithTheNumberOfEndpoints() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(8);
        offerRequests(script, new ArrayDeque<>(), 40, 50);
        int all = script.engine.slotLimits()[0];
        for (int id = 1; id <= 4; id++) {
            script.updateEndpoints(EngineScript.endpoint(id, EndpointState.REMOVED, 0, 0));
        }
        script.advance(50);
        assertTrue(all > 40, all + " slots");
        int half = all / 2;
        assertEquals(half, script.engine.slotLimits()[0], 1);
    }

    /** Fails if a gateway that rarely uses each of many endpoints opens a connection for every request. */
    @Test
    void aRecentlyUsedEndpointIsPreferredWhileItIsIdle() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED)
                .withEndpoints(20)
                .completeRequests(12, 230);
        assertEquals(
                1,
                script.actions.stream()
                        .filter(action -> action.startsWith("forward "))
                        .map(action -> action.split(" to ", -1)[1])
                        .distinct()
                        .count());
        script.request(1);
        script.request(1);
        assertEquals(
                2,
                script.actions.stream()
                        .filter(action -> action.startsWith("forward "))
                        .map(action -> action.split(" to ", -1)[1])
                        .distinct()
                        .count(),
                "a busy endpoint is not waited for");
    }
}
