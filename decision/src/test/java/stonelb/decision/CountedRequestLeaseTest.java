package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Leases of customers that use so many gateways that each request is counted before it is admitted. */
class CountedRequestLeaseTest {
    private static List<EngineScript> fleet(Plan plan, int gateways) {
        List<EngineScript> fleet = new ArrayList<>();
        for (int gateway = 0; gateway < gateways; gateway++) {
            fleet.add(new EngineScript(EngineScript.IDEMPOTENT, plan, gateway, gateways).withEndpoints(60));
        }
        return fleet;
    }

    /** A counter that several gateways share, which answers at once. */
    private static final class SharedCounter {
        private final double[] lastTotals;
        private double total;

        SharedCounter(int gateways) {
            lastTotals = new double[gateways];
        }

        /** Sends a request of the customer to a gateway; the endpoint responds at once if it is forwarded. */
        void sendRequest(EngineScript script, int gateway, int spread) {
            long calls = script.countActions("add");
            long id = script.request(1, 5, spread);
            for (; script.countActions("add") > calls; calls++) {
                double addedByOthers = total - lastTotals[gateway];
                total += script.lastCounterAmount();
                lastTotals[gateway] = total;
                script.answerCounter(addedByOthers);
            }
            script.endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 50);
        }
    }

    @Test
    void theFirstRequestIsHeldUntilTheCounterAnswers() {
        EngineScript script = LeaseScripts.manyGateways();
        script.request(2, 5, 50);
        assertEquals(0, script.sentRequests());
        script.answerCounter(0);
        assertEquals(1, script.sentRequests());
    }

    /** Customer 0 has counter name 0 in its first window. Fails if an answer under this name finds no customer. */
    @Test
    void answersUnderCounterName0AreHandledAfterTheSlotsAreSplit() {
        EngineScript script = LeaseScripts.manyGateways();
        long id = script.request(2, 0, 50);
        script.answerCounter(0).endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 50);
        assertEquals(1, script.sentRequests());
        script.advance(3000).request(2, 0, 50);
        script.answerCounter(0);
        assertEquals(2, script.sentRequests());
    }

    /** Fails if units are taken from the quota for requests that the gateway then rejects. */
    @Test
    void aRequestRejectedForLackOfASlotTakesNoUnits() {
        EngineScript script = LeaseScripts.manyGateways();
        int customer = 10;
        for (long rejected = script.countActions("refuse"); script.countActions("refuse") == rejected; ) {
            script.request(2, customer++, 50);
            script.answerCounter(0);
        }
        long calls = script.countActions("add");
        script.request(2, 5, 50);
        assertEquals(2, script.countActions("refuse"));
        assertEquals(calls, script.countActions("add"));
    }

    @Test
    void aSpentQuotaReservesTheNextUnitsWithoutFurtherCalls() {
        EngineScript script = LeaseScripts.manyGateways();
        long id = script.request(2, 5, 50);
        script.answerCounter(0)
                .endAttempt(id, 0, script.endpointOf(id), Outcome.OK, 50)
                .answerCounter(0)
                .advance(50)
                .request(2, 5, 50);
        script.answerCounter(10); // the quota has a burst of 6 units and refills by one a second: 8 are missing
        assertEquals(1, script.countActions("refuse"));
        long calls = script.countActions("add");
        script.advance(4000).request(2, 5, 50);
        assertEquals(1, script.sentRequests(), "the reserved units are not refilled yet");
        script.advance(5000).request(2, 5, 50);
        assertEquals(2, script.sentRequests(), "the reserved units are refilled");
        assertEquals(calls, script.countActions("add"));
    }

    /** Fails if gateways lease blocks that the customer rarely uses there: half of its quota would stay unused. */
    @Test
    void aCustomerSpreadOverManyGatewaysIsHeldToItsQuota() {
        List<EngineScript> fleet = fleet(EngineScript.planWithRate(0.5, 3), 10);
        SharedCounter counter = new SharedCounter(fleet.size());
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 240; i++) { // four times its quota, for a minute
            fleet.forEach(script -> script.advance(250));
            int gateway = random.nextInt(10);
            counter.sendRequest(fleet.get(gateway), gateway, 10);
        }
        long sent = fleet.stream().mapToLong(EngineScript::sentRequests).sum();
        long calls =
                fleet.stream().mapToLong(script -> script.countActions("add")).sum();
        assertTrue(sent >= 25 && sent <= 36, sent + " requests forwarded, where the quota allows 33");
        assertTrue(calls <= 2 * sent, calls + " calls for " + sent + " requests forwarded");
    }

    /** Units reserved at all gateways and used in addition to a full quota would exceed the ceiling. */
    @Test
    void reservedUnitsAreDroppedOnceTheQuotaIsFull() {
        List<EngineScript> fleet = fleet(new Plan(1, 4, 0, 2, 8, 1, 0, 1), 4);
        SharedCounter counter = new SharedCounter(fleet.size());
        for (int i = 0; i < 24; i++) {
            counter.sendRequest(fleet.get(i % 4), i % 4, 4); // spends the quota; each gateway reserves a unit
        }
        long before = fleet.stream().mapToLong(EngineScript::sentRequests).sum();
        fleet.forEach(script -> script.advance(30_000));
        for (int i = 0; i < 24; i++) {
            counter.sendRequest(fleet.get(i % 4), i % 4, 4);
        }
        long sent = fleet.stream().mapToLong(EngineScript::sentRequests).sum() - before;
        assertTrue(sent >= 4 && sent <= 5, sent + " requests at once, where the burst is 4");
    }

    /** Fails if the same units expire twice, which would leave the customer without units for a window. */
    @Test
    void theSecondOfTwoGatewaysToExpireTheSameUnitsRevertsItsAdjustment() {
        EngineScript script = LeaseScripts.manyGateways();
        script.request(2, 5, 50);
        script.answerCounter(0);
        double expired = script.lastCounterAmount();
        assertTrue(expired > 5, "the window has run for a while: " + expired);
        script.answerCounter(expired); // another gateway let them expire first
        assertEquals(-expired, script.lastCounterAmount(), 2.5);
    }

    @Test
    void unusedUnitsBeyondTheBurstExpireOnTheCounter() {
        EngineScript script = LeaseScripts.manyGateways();
        script.request(2, 5, 50);
        script.answerCounter(-20); // as if the window had begun 20 s earlier
        assertTrue(script.lastCounterAmount() > 6, "all units but the burst: " + script.lastCounterAmount());
        assertEquals(1, script.sentRequests());
    }
}
