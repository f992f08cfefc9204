package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests under ever new names must not fill the heap, nor make the gateway forget what customers have used. */
class CustomerTableTest {
    private static final int FLOOD = 2 * CustomerTable.MAX_CUSTOMERS;
    private static final long FIRST_NEW_CUSTOMER = 1000;
    private static final long USUAL_CUSTOMER = 5;

    private static EngineScript engineWith(Plan plan) {
        return new EngineScript(EngineScript.IDEMPOTENT, plan, 0, 1).withEndpoints(4);
    }

    /** Serves a request if it is admitted; returns whether it was. */
    private static boolean serve(EngineScript script, long customer) {
        long id = script.request(1, customer, 1);
        long endpoint = script.endpointOf(id);
        if (endpoint != 0) {
            script.endAttempt(id, 0, endpoint, Outcome.OK, 1);
        }
        while (script.unansweredCounterCalls() > 0) {
            script.answerCounter(0);
        }
        script.actions.clear();
        return endpoint != 0;
    }

    @Test
    void numberOfCustomersIsBounded() {
        DecisionSettings settings = new DecisionSettings(
                1,
                List.of(EngineScript.IDEMPOTENT),
                List.of(new Plan(0, 0, 0, 0.001, 8, 1, 0, 1)),
                new AttemptLimits(3, false, true, true, 1000),
                new SlowStart(0.2, 10_000, 2000),
                new CounterSettings(false, 50),
                4,
                false,
                false,
                4);
        EngineScript actions = engineWith(EngineScript.UNLIMITED);
        CustomerTable table =
                new CustomerTable(EngineComponents.create(settings, 1, actions).leases());
        for (int i = 0; i < FLOOD; i++) {
            AdmissionRequest request = new AdmissionRequest(i, 0, 0, FIRST_NEW_CUSTOMER + i, 1000, 1, 1, false);
            Customer customer = table.findOrAdd(0, request);
            if (i < CustomerTable.MAX_CUSTOMERS) {
                customer.lease().take(0, request);
            } else {
                assertNull(customer, "no ceiling is full again");
            }
        }
        assertEquals(CustomerTable.MAX_CUSTOMERS, table.size());
    }

    /** Without endpoints nothing is admitted, so that each name can make room for the next one at once. */
    @Test
    void customersWhoseRequestsWereRejectedMakeRoom() {
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.planWithRate(1, 4), 0, 1);
        for (int i = 0; i < FLOOD; i++) {
            serve(script, FIRST_NEW_CUSTOMER + i);
        }
        assertTrue(serve(script.withEndpoints(4), USUAL_CUSTOMER), "a new customer is admitted");
    }

    /** A ceiling that is used up must stay so while other names come and go. */
    @Test
    void ceilingIsNotGrantedAgainAfterManyNewNames() {
        Plan plan = new Plan(0, 0, 0, 0.001, 8, 1, 0, 1);
        EngineScript script = engineWith(plan);
        int admitted = 0;
        for (int i = 0; i < 20; i++) {
            admitted += serve(script, USUAL_CUSTOMER) ? 1 : 0;
        }
        assertTrue(admitted > 0 && admitted <= 8, admitted + " of a ceiling of 8");
        for (int i = 0; i < FLOOD; i++) {
            serve(script, FIRST_NEW_CUSTOMER + i);
        }
        for (int i = 0; i < 20; i++) {
            admitted += serve(script, USUAL_CUSTOMER) ? 1 : 0;
        }
        assertTrue(admitted <= 8, admitted + " of a ceiling of 8");
    }

    /** New customers are admitted while others come once, also under a quota that is refilled slowly. */
    @Test
    void customersThatComeOnceMakeRoomForOthers() {
        EngineScript script = engineWith(EngineScript.planWithRate(0.001, 5));
        int admitted = 0;
        for (int i = 0; i < FLOOD; i++) {
            script.advance(i % 50 == 0 ? 50 : 0);
            admitted += serve(script, FIRST_NEW_CUSTOMER + i) ? 1 : 0;
        }
        assertEquals(FLOOD, admitted);
    }
}
