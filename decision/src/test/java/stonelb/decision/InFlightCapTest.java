package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Caps on attempts in flight that several gateways share. */
class InFlightCapTest {
    @Test
    void theCapIsDividedUnlessTheTotalShowsUnusedCapacity() {
        EngineScript script =
                new EngineScript(EngineScript.IDEMPOTENT, new Plan(0, 0, 4, 0, 0, 1, 0, 1)).withEndpoints(10);
        script.request(1);
        script.answerCounter(3);
        for (int i = 0; i < 5; i++) {
            script.request(1);
        }
        assertEquals(2, script.sentRequests(), "other gateways use the rest");
        EngineScript onlyUser =
                new EngineScript(EngineScript.IDEMPOTENT, new Plan(0, 0, 4, 0, 0, 1, 0, 1)).withEndpoints(10);
        onlyUser.request(1);
        onlyUser.answerCounter(0);
        for (int i = 0; i < 6; i++) {
            onlyUser.request(1);
        }
        assertEquals(4, onlyUser.sentRequests(), "no other gateway has attempts in flight");
    }

    @Test
    void aCapBesideARateIsDividedAmongTheGateways() {
        EngineScript script =
                new EngineScript(EngineScript.IDEMPOTENT, new Plan(50, 50, 4, 0, 0, 1, 0, 1)).withEndpoints(10);
        for (int i = 0; i < 5; i++) {
            script.request(1);
        }
        assertEquals(2, script.sentRequests(), "one of two gateways gets half of the cap");
    }
}
