package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules that a single engine keeps: final answers, retries, endpoint states, slow start and ceilings. */
class EngineRulesTest {

    private static long finalAnswers(EngineScript script, long id) {
        return script.countActions("refuse " + id + " ")
                + script.actions.stream().filter(("fail " + id)::equals).count();
    }

    @Test
    void anUnansweredRequestGetsOneFinalAnswerAtItsDeadline() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(4);
        long id = script.request(1);
        long token = script.timerTokens.get(script.timerTokens.size() - 1);
        script.now += 2996;
        script.engine.timerFired(script.now, token);
        assertEquals(1, finalAnswers(script, id));
        long sent = script.countActions("forward");
        script.endAttempt(id, 0, script.endpointOf(id), Outcome.RESET, 2999);
        script.engine.timerFired(script.now, token);
        assertEquals(1, finalAnswers(script, id));
        assertEquals(sent, script.countActions("forward"), "nothing is sent after the final answer");
    }

    @Test
    void withdrawnRequestsAreNotSentAgain() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(4);
        long id = script.request(1);
        script.engine.requestWithdrawn(script.now, id);
        script.endAttempt(id, 0, script.endpointOf(id), Outcome.CONNECT_FAILED, 250);
        assertEquals(1, script.countActions("forward"));
        assertEquals(0, finalAnswers(script, id));
    }

    @Test
    void anAtMostOnceRequestThatMayHaveRunIsNeitherRetriedNorRejected() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)) {
            EngineScript script = new EngineScript(
                            EngineScript.requestClass(Idempotency.AT_MOST_ONCE, DeduplicationScope.ALL),
                            EngineScript.UNLIMITED)
                    .withEndpoints(4);
            long id = script.request(1);
            script.endAttempt(id, 0, script.endpointOf(id), outcome, 20);
            assertEquals(1, script.countActions("forward"), outcome.toString());
            assertTrue(script.actions.contains("fail " + id), outcome.toString());
        }
    }

    @Test
    void anAtMostOnceRequestThatNeverRanIsRetriedAtAnotherEndpoint() {
        for (Outcome outcome : List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED)) {
            EngineScript script = new EngineScript(
                            EngineScript.requestClass(Idempotency.AT_MOST_ONCE, DeduplicationScope.ALL),
                            EngineScript.UNLIMITED)
                    .withEndpoints(4);
            long id = script.request(1);
            long first = script.endpointOf(id);
            script.endAttempt(id, 0, first, outcome, 20);
            assertEquals(2, script.countActions("forward"), outcome.toString());
            assertNotEquals(first, script.endpointOf(id), outcome.toString());
        }
    }

    @Test
    void anIdempotencyKeyAllowsRetriesOnlyWithinItsScopeAndWindow() {
        for (DeduplicationScope scope : List.of(DeduplicationScope.ZONE, DeduplicationScope.CELL)) {
            EngineScript script = new EngineScript(
                            EngineScript.requestClass(Idempotency.IDEMPOTENCY_KEY, scope), EngineScript.UNLIMITED)
                    .withEndpoints(6);
            long id = script.request(1);
            long first = script.endpointOf(id);
            script.endAttempt(id, 0, first, Outcome.RESET, 20);
            assertEquals(2, script.countActions("forward"));
            assertEquals(first % 2, script.endpointOf(id) % 2);
            script.now += 5000;
            script.endAttempt(id, 1, script.endpointOf(id), Outcome.RESET, 20);
            assertEquals(2, script.countActions("forward"));
            assertTrue(script.actions.contains("fail " + id), "a rejection would promise that it was never executed");
        }
    }

    /** A new process in another cell took the name of an endpoint; retries followed it to servers without the key. */
    @Test
    void retriesStayInTheScopeOfTheProcessThatMayHaveExecutedTheRequest() {
        for (DeduplicationScope scope : List.of(DeduplicationScope.ZONE, DeduplicationScope.CELL)) {
            EngineScript script = new EngineScript(
                            EngineScript.requestClass(Idempotency.IDEMPOTENCY_KEY, scope), EngineScript.UNLIMITED)
                    .withEndpoints(2);
            long id = script.request(1);
            long first = script.endpointOf(id);
            int otherScope = 1 - (int) first % 2;
            script.updateEndpoints(EngineScript.endpoint(first, EndpointState.READY, script.now, otherScope));
            script.advance(100).endAttempt(id, 0, first, Outcome.RESET, 100);
            assertEquals(1, script.countActions("forward"));
            assertTrue(script.actions.contains("fail " + id));
        }
    }

    @Test
    void drainingAndRemovedEndpointsGetNoNewRequests() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(3);
        script.updateEndpoints(
                EngineScript.endpoint(1, EndpointState.DRAINING, 0, 0),
                EngineScript.endpoint(2, EndpointState.REMOVED, 0, 0));
        for (int i = 0; i < 6; i++) {
            script.request(1);
        }
        assertEquals(
                6,
                script.actions.stream()
                        .filter(action -> action.endsWith(" to 3"))
                        .count());
        script.engine.endpointsChanged(
                script.now, EndpointListType.SNAPSHOT, List.of(EngineScript.endpoint(1, EndpointState.READY, 0, 0)));
        script.request(1);
        assertEquals(
                6,
                script.actions.stream()
                        .filter(action -> action.endsWith(" to 3"))
                        .count(),
                "an endpoint that is not listed is removed");
    }

    /** Offers 20 requests a second, each answered 8 rounds later. */
    private static void offerRequests(EngineScript script, Deque<Long> inFlight, int rounds) {
        for (int round = 0; round < rounds; round++) {
            inFlight.add(script.request(1));
            if (inFlight.size() > 8) {
                long id = inFlight.remove();
                script.endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 300);
            }
            script.advance(50);
        }
    }

    @Test
    void aWarmingEndpointGetsNoMoreThanItsBudget() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(3);
        Deque<Long> inFlight = new ArrayDeque<>();
        offerRequests(script, inFlight, 60);
        script.updateEndpoints(EngineScript.endpoint(3, EndpointState.READY, script.now, 1));
        long before = script.actions.stream()
                .filter(action -> action.endsWith(" to 3"))
                .count();
        offerRequests(script, inFlight, 40);
        long sent = script.actions.stream()
                        .filter(action -> action.endsWith(" to 3"))
                        .count()
                - before;
        // 20 requests a second on 3 endpoints: 13 in 2 s if warm, 0.2 to 0.36 of that if cold, and one initially.
        assertTrue(sent <= 6, sent + " sent");
        offerRequests(script, inFlight, 160);
        assertTrue(
                script.actions.stream()
                                .filter(action -> action.endsWith(" to 3"))
                                .count()
                        > before,
                "it gets its share when it is warm");
    }

    @Test
    void theFirstAttemptsOfManyGatewaysAtAWarmingEndpointAreSpreadOverTime() {
        long sent = 0;
        for (int rank = 0; rank < 40; rank++) {
            EngineScript script =
                    new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED, rank, 40).withEndpoints(0);
            script.updateEndpoints(EngineScript.endpoint(1, EndpointState.READY, script.now, 0));
            script.request(1);
            sent += script.countActions("forward");
        }
        assertEquals(0, sent, "no gateway starts with the budget for a whole attempt");
    }

    @Test
    void aWarmingEndpointInALargeFleetGetsWhatItsBudgetAllows() {
        long sent = 0;
        for (int rank = 0; rank < 30; rank++) {
            EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED, rank, 30)
                    .withEndpoints(150)
                    .completeRequests(60, 50);
            script.updateEndpoints(EngineScript.endpoint(200, EndpointState.READY, script.now, 0))
                    .completeRequests(150, 50);
            sent += script.actions.stream()
                    .filter(action -> action.endsWith(" to 200"))
                    .count();
        }
        // 20 requests a second on 150 endpoints for 7.5 s, at 0.2 to 0.8 of that: half an attempt per gateway.
        assertTrue(sent >= 10 && sent <= 30, sent + " sent by 30 gateways");
    }

    @Test
    void aNewGatewayHasOnlyAPartialBurstUnderACeiling() {
        EngineScript script =
                new EngineScript(EngineScript.IDEMPOTENT, new Plan(100, 200, 0, 20, 40, 1, 0, 1)).withEndpoints(8);
        for (int i = 0; i < 30; i++) {
            script.request(1);
        }
        assertEquals(
                5,
                script.sentRequests(),
                "a quarter of its share, as a restarted gateway does not know its last burst");
        script.advance(4000);
        for (int i = 0; i < 30; i++) {
            script.request(1);
        }
        assertEquals(20, script.sentRequests(), "after idling, at most the share less the initial burst of a restart");
    }

    /** Fails if the ceiling is divided among the gateways: a customer that uses only one of them would get a fraction. */
    @Test
    void leasedUnitsAreAdmittedUnderACeilingSharedByManyGateways() {
        EngineScript script =
                new EngineScript(EngineScript.IDEMPOTENT, new Plan(2, 4, 0, 5, 9, 1, 0, 1), 0, 8).withEndpoints(8);
        for (int i = 0; i < 4; i++) {
            script.request(1, 5, 8);
            script.answerCounter(0);
            if (script.lastCounterAmount() > 1) {
                script.answerCounter(0); // units beyond the burst expire
            }
        }
        assertEquals(4, script.sentRequests(), "the whole burst, at one gateway of eight");
        script.request(1, 5, 8);
        script.answerCounter(3);
        assertEquals(4, script.sentRequests(), "the other gateways have used the units gained since");
        script.request(1, 6, 8);
        script.answerCounter(Outcome.TIMEOUT);
        assertEquals(4, script.sentRequests(), "no answer has confirmed that the bucket held it");
    }

    @Test
    void aFailedEndpointListChangesNothingAndIsRequestedAgain() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(2);
        script.engine.endpointsChanged(script.now, EndpointListType.FAILED, List.of());
        assertEquals(1, script.countActions("subscribe"));
        script.request(1);
        assertEquals(1, script.countActions("forward"));
    }

    @Test
    void anEndpointThatReturnsUnderItsOldIdStartsAfresh() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED).withEndpoints(1);
        long id = script.request(1);
        script.endAttempt(id, 0, 1, Outcome.RESET, 20);
        script.updateEndpoints(EngineScript.endpoint(1, EndpointState.REMOVED, 0, 0));
        script.request(1);
        long sent = script.countActions("forward");
        script.now += 30_000;
        script.updateEndpoints(EngineScript.endpoint(1, EndpointState.READY, script.now - 20_000, 0));
        script.request(1);
        assertEquals(sent + 1, script.countActions("forward"));
    }

    /** Fails if at-most-once requests probe an endpoint that fails now and then: a failure would lose them. */
    @Test
    void atMostOnceRequestsAvoidAnEndpointAfterAnError() {
        EngineScript script = new EngineScript(
                        EngineScript.requestClass(Idempotency.AT_MOST_ONCE, DeduplicationScope.ALL),
                        EngineScript.UNLIMITED)
                .withEndpoints(2)
                .completeRequests(6, 50);
        long id = script.request(1);
        long failed = script.endpointOf(id);
        script.endAttempt(id, 0, failed, Outcome.ERROR, 50)
                .completeRequests(6, 50)
                .advance(9000);
        for (int i = 0; i < 12; i++) {
            long next = script.request(1);
            assertTrue(script.endpointOf(next) != failed, "request " + i);
            script.advance(50).endAttempt(next, 0, script.endpointOf(next), Outcome.OK, 50);
        }
    }
}
