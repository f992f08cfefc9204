package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Customers of so many gateways that each request is counted before it is admitted. */
class CountedRequestLeaseTest {
    private static List<EngineScript> fleet(Plan plan, int gateways) {
        List<EngineScript> fleet = new ArrayList<>();
        for (int g = 0; g < gateways; g++) {
            fleet.add(new EngineScript(EngineScript.SAFE, plan, g, gateways).servers(60));
        }
        return fleet;
    }

    /** One counter for several gateways, which answers at once. */
    private static final class Totals {
        private final double[] seen;
        private double total;

        Totals(int gateways) {
            seen = new double[gateways];
        }

        /** A try of the customer at that gateway, answered at once where it is sent on. */
        void ask(EngineScript s, int g, int width) {
            long calls = s.count("add");
            long id = s.request(1, 5, width);
            for (; s.count("add") > calls; calls++) {
                double others = total - seen[g];
                total += s.lastAmount();
                seen[g] = total;
                s.counted(others);
            }
            s.ended(id, 0, s.serverOf(id), Outcome.OK, 50);
        }
    }

    @Test
    void theFirstTryOfAWideCustomerWaitsForTheCounter() {
        EngineScript s = LeaseScripts.sparse();
        s.request(2, 5, 50);
        assertEquals(0, s.sent());
        s.counted(0);
        assertEquals(1, s.sent());
    }

    /** Guards against answers that find no customer: name 0 is the one of customer 0 in its first window. */
    @Test
    void aCallUnderTheCounterName0IsAnsweredAfterTheSlotsAreSplit() {
        EngineScript s = LeaseScripts.sparse();
        long id = s.request(2, 0, 50);
        s.counted(0).ended(id, 0, s.serverOf(id), Outcome.OK, 50);
        assertEquals(1, s.sent());
        s.pass(3000).request(2, 0, 50);
        s.counted(0);
        assertEquals(2, s.sent());
    }

    /** Guards against units taken from the store for tries that the gateway then turns away. */
    @Test
    void aWideCustomersTryThatFindsNoSlotTakesNoUnit() {
        EngineScript s = LeaseScripts.sparse();
        int customer = 10;
        for (long refused = s.count("refuse"); s.count("refuse") == refused; ) {
            s.request(2, customer++, 50);
            s.counted(0);
        }
        long calls = s.count("add");
        s.request(2, 5, 50);
        assertEquals(2, s.count("refuse"));
        assertEquals(calls, s.count("add"));
    }

    @Test
    void aWideCustomerFoundSpentBooksItsNextUnitAndCallsNoMore() {
        EngineScript s = LeaseScripts.sparse();
        long id = s.request(2, 5, 50);
        s.counted(0)
                .ended(id, 0, s.serverOf(id), Outcome.OK, 50)
                .counted(0)
                .pass(50)
                .request(2, 5, 50);
        s.counted(10); // the store holds 6 units and fills by one a second: 8 are missing
        assertEquals(1, s.count("refuse"));
        long calls = s.count("add");
        s.pass(4000).request(2, 5, 50);
        assertEquals(1, s.sent(), "not due yet");
        s.pass(5000).request(2, 5, 50);
        assertEquals(2, s.sent(), "due");
        assertEquals(calls, s.count("add"));
    }

    /** Guards against blocks held where a customer comes seldom: the fleet would hold back half of its quota. */
    @Test
    void aCustomerSpreadOverManyGatewaysGetsItsQuotaAndNoMore() {
        List<EngineScript> fleet = fleet(EngineScript.rate(0.5, 3), 10);
        Totals totals = new Totals(fleet.size());
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < 240; i++) { // four times its quota, for a minute
            fleet.forEach(s -> s.pass(250));
            int g = random.nextInt(10);
            totals.ask(fleet.get(g), g, 10);
        }
        long sent = fleet.stream().mapToLong(EngineScript::sent).sum();
        long calls = fleet.stream().mapToLong(s -> s.count("add")).sum();
        assertTrue(sent >= 25 && sent <= 36, sent + " tries sent on, where the quota gives 33");
        assertTrue(calls <= 2 * sent, calls + " calls for " + sent + " tries sent on");
    }

    /** Guards against booked units that lie at all gateways beside a full store, and break a ceiling at once. */
    @Test
    void bookedUnitsThatWaitedUntilTheStoreIsFullLapse() {
        List<EngineScript> fleet = fleet(new Plan(1, 4, 0, 2, 8, 1, 0, 1), 4);
        Totals totals = new Totals(fleet.size());
        for (int i = 0; i < 24; i++) {
            totals.ask(fleet.get(i % 4), i % 4, 4); // spent, and a unit booked at each
        }
        long before = fleet.stream().mapToLong(EngineScript::sent).sum();
        fleet.forEach(s -> s.pass(30_000));
        for (int i = 0; i < 24; i++) {
            totals.ask(fleet.get(i % 4), i % 4, 4);
        }
        long sent = fleet.stream().mapToLong(EngineScript::sent).sum() - before;
        assertTrue(sent >= 4 && sent <= 5, sent + " tries at once, where a burst is 4");
    }

    /** Guards against units that expire twice: the customer would find nothing for a window. */
    @Test
    void ofTwoGatewaysThatLetTheSameUnitsExpireTheSecondTakesItsOwnBack() {
        EngineScript s = LeaseScripts.sparse();
        s.request(2, 5, 50);
        s.counted(0);
        double expired = s.lastAmount();
        assertTrue(expired > 5, "the window has run for a while: " + expired);
        s.counted(expired); // another gateway's came first
        assertEquals(-expired, s.lastAmount(), 2.5);
    }

    @Test
    void whatTheStoreCannotHoldExpiresOnTheCounter() {
        EngineScript s = LeaseScripts.sparse();
        s.request(2, 5, 50);
        s.counted(-20); // as if the window were 20 units' time older
        assertTrue(s.lastAmount() > 6, "all but the burst: " + s.lastAmount());
        assertEquals(1, s.sent());
    }
}
