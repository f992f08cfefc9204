package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Leased blocks of quota on the counter. */
class LeaseTest {
    private static final Plan CEILED = new Plan(2, 8, 0, 4.7, 19, 1, 0, 1);

    private static EngineScript script(double rate, double burst) {
        return new EngineScript(EngineScript.SAFE, EngineScript.rate(rate, burst)).servers(10);
    }

    @Test
    void theFirstTryPassesAtOnceAndAsksForABlock() {
        EngineScript s = script(1, 10);
        s.request(1);
        assertEquals(1, s.sent());
        assertEquals(1, s.count("add"));
        assertTrue(s.lastAmount() > 1, "what was used and more");
    }

    @Test
    void anUncountedCustomerGetsItsPartOfTheBurst() {
        EngineScript s = script(0.001, 10);
        for (int i = 0; i < 20; i++) {
            s.request(1);
        }
        assertEquals(5, s.sent());
    }

    @Test
    void whatTheTotalDoesNotLeaveIsAddedBackAndTheRestRefused() {
        EngineScript s = script(0.001, 10);
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
        EngineScript s = script(0.001, 10);
        s.request(1);
        s.counted(30);
        for (int i = 0; i < 3; i++) {
            s.counted(0);
            s.request(1);
        }
        assertEquals(1, s.sent(), "the store is still spent");
    }

    /** Gateways so many that a part of the burst holds no try. */
    private static EngineScript sparse() {
        return new EngineScript(EngineScript.SAFE, EngineScript.rate(1, 6), 0, 100).servers(100);
    }

    @Test
    void theFirstTryOfAWideCustomerWaitsForTheCounter() {
        EngineScript s = sparse();
        s.request(2, 5, 50);
        assertEquals(0, s.sent());
        s.counted(0);
        assertEquals(1, s.sent());
    }

    /** Guards against answers that find no customer: name 0 is the one of customer 0 in its first window. */
    @Test
    void aCallUnderTheCounterName0IsAnsweredAfterTheSlotsAreSplit() {
        EngineScript s = sparse();
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
        EngineScript s = sparse();
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
        EngineScript s = sparse();
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

    /**
     * Guards against calls of a crowded counter that are added and never spent: the totals would say that a customer
     * has used its quota long before it has.
     */
    @Test
    void underACeilingWhatAnUnansweredCallAddedIsTakenByTheNextTry() {
        EngineScript s = new EngineScript(EngineScript.SAFE, CEILED, 0, 10).servers(10);
        s.request(1, 5, 9);
        assertEquals(1, s.lastAmount());
        s.counted(Outcome.TIMEOUT);
        assertEquals(0, s.sent(), "nobody has said that the store holds it");
        s.request(1, 5, 9);
        assertEquals(0, s.lastAmount(), "it is on the counter");
        s.counted(1);
        assertEquals(1, s.sent());
    }

    /**
     * Guards against a counter that comes back from a silence with its counts, which would pass for one that was
     * emptied and has given out all of them since: busy customers would be refused for the rest of their window.
     */
    @Test
    void countsThatOutliveASilenceAreNoDebt() {
        EngineScript s = new EngineScript(EngineScript.SAFE, CEILED, 0, 10).servers(10);
        silence(s);
        s.pass(4000).request(1, 6, 9);
        s.counted(0);
        long before = s.sent();
        s.request(1, 5, 9);
        s.counted(20).pass(600).request(1, 5, 9);
        assertEquals(before + 1, s.sent(), "its unit is due soon: the store is spent, and not in debt");
    }

    /** The same where a gateway knows the customer, and the debt is not too deep to be one. */
    @Test
    void aTotalThatHasNotFallenInASilenceIsNotAnEmptiedOne() {
        for (long customer = 5; ; customer++) {
            EngineScript s = new EngineScript(EngineScript.SAFE, CEILED, 0, 10).servers(10);
            s.request(1, customer, 9);
            s.counted(12);
            if (s.count("add") == 1) { // its window is young: nothing expired
                s.counted(Outcome.TIMEOUT).counted(Outcome.TIMEOUT).pass(4000).request(1, 1, 9);
                s.counted(0);
                long before = s.sent();
                s.request(1, customer, 9);
                s.counted(0);
                assertEquals(before + 1, s.sent());
                return;
            }
        }
    }

    @Test
    void underACeilingACallThatWasLostLeasesNothing() {
        EngineScript s = new EngineScript(EngineScript.SAFE, CEILED, 0, 10).servers(10);
        s.request(1, 5, 9);
        s.counted(Outcome.TIMEOUT);
        s.request(1, 5, 9);
        s.counted(0);
        assertEquals(0, s.sent());
        assertEquals(1, s.lastAmount(), "the total shows that it was not added");
        s.counted(0).counted(0); // also what expired has its answer
        assertEquals(1, s.sent());
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

    /** Guards against units that expire twice: the customer would find nothing for a window. */
    @Test
    void ofTwoGatewaysThatLetTheSameUnitsExpireTheSecondTakesItsOwnBack() {
        EngineScript s = sparse();
        s.request(2, 5, 50);
        s.counted(0);
        double expired = s.lastAmount();
        assertTrue(expired > 5, "the window has run for a while: " + expired);
        s.counted(expired); // another gateway's came first
        assertEquals(-expired, s.lastAmount(), 2.5);
    }

    @Test
    void aCrowdedCounterIsAskedSeldomAndInLargerBlocks() {
        EngineScript s = sparse();
        for (int i = 0; i < 6; i++) {
            s.request(2, 100 + i, 50);
            s.counted(Outcome.REJECTED);
        }
        long asked = s.count("add");
        for (int i = 0; i < 200; i++) {
            long id = s.request(1, 200 + i);
            s.ended(id, 0, s.serverOf(id), Outcome.OK, 50);
        }
        assertTrue(s.count("add") - asked < 60, s.count("add") - asked + " of 200");
        assertTrue(s.lastAmount() > 10, "a block stands for the tries that did not ask");
    }

    /** Guards against spoilt answers and broken connections that would look like a counter in a crowd, or silent. */
    @Test
    void aLostAnswerCountsAsAddedAndAsNeitherSilenceNorACrowd() {
        EngineScript s = sparse();
        for (int i = 0; i < 6; i++) {
            s.request(2, 100 + i, 50);
            s.counted(Outcome.RESET);
        }
        long asked = s.count("add");
        for (int i = 0; i < 20; i++) {
            long id = s.request(2, 200 + i, 50);
            s.counted(0).ended(id, 0, s.serverOf(id), Outcome.OK, 50);
        }
        assertTrue(s.count("add") - asked >= 20, s.count("add") - asked + " of 20");
        EngineScript one = script(0.001, 10);
        one.request(1);
        double added = one.lastAmount();
        one.counted(Outcome.RESET);
        long before = one.count("add");
        one.request(1);
        assertTrue(added > 1 && one.count("add") == before, "the block is held as added");
    }

    @Test
    void whatTheStoreCannotHoldExpiresOnTheCounter() {
        EngineScript s = sparse();
        s.request(2, 5, 50);
        s.counted(-20); // as if the window were 20 units' time older
        assertTrue(s.lastAmount() > 6, "all but the burst: " + s.lastAmount());
        assertEquals(1, s.sent());
    }

    @Test
    void aSilentCounterLeavesAWideCustomerOneTryAGateway() {
        EngineScript s = sparse();
        for (int i = 0; i < 2; i++) {
            s.request(2, 100 + i, 50);
            s.counted(Outcome.TIMEOUT);
        }
        long sent = s.sent();
        for (int i = 0; i < 6; i++) {
            s.request(2, 5, 50);
        }
        assertEquals(sent + 1, s.sent());
    }

    @Test
    void othersHandingBackIsNotACounterComeBackEmpty() {
        EngineScript s = script(0.001, 10);
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
        EngineScript s = script(1, 10);
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
        EngineScript s = script(2, 4);
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

    /** Two customers' calls unanswered: no accident. */
    private static void silence(EngineScript s) {
        for (int i = 0; i < 2; i++) {
            for (int k = 0; k < 9 && s.count("add") <= i; k++) {
                s.request(1, 50 + i);
            }
            s.counted(Outcome.TIMEOUT);
        }
    }

    @Test
    void aSilentCounterLeavesTheRateDividedByTheGateways() {
        EngineScript s = script(10, 10);
        silence(s);
        for (int i = 0; i < 40; i++) {
            s.request(1);
        }
        long first = s.sent();
        assertTrue(first <= 8, first + " of burst / width at once");
        for (int i = 0; i < 40; i++) {
            s.pass(50).request(1);
        }
        long later = s.sent() - first;
        assertTrue(later >= 8 && later <= 11, later + " in 2 s at 5 a second");
    }

    @Test
    void aSilentCounterIsReadBeforeAnythingIsAdded() {
        EngineScript s = script(10, 10);
        silence(s);
        s.pass(600).request(1);
        assertEquals(0, s.lastAmount());
        s.counted(0).pass(200);
        s.request(1);
        assertTrue(s.sent() >= 3);
    }

    @Test
    void aTryLargerThanAShareStillPassesInASilence() {
        EngineScript s = script(1, 6);
        silence(s);
        s.pass(20_000);
        long sent = s.sent();
        s.request(5);
        assertEquals(sent + 1, s.sent(), "burst / width is 3");
        s.request(5);
        assertEquals(sent + 1, s.sent(), "one try at most, then at the share's rate");
    }

    @Test
    void openCapsAreSharedUntilTheTotalTellsOfRoom() {
        EngineScript s = new EngineScript(EngineScript.SAFE, new Plan(0, 0, 4, 0, 0, 1, 0, 1)).servers(10);
        s.request(1);
        s.counted(3);
        for (int i = 0; i < 5; i++) {
            s.request(1);
        }
        assertEquals(2, s.sent(), "others hold the rest");
        EngineScript alone = new EngineScript(EngineScript.SAFE, new Plan(0, 0, 4, 0, 0, 1, 0, 1)).servers(10);
        alone.request(1);
        alone.counted(0);
        for (int i = 0; i < 6; i++) {
            alone.request(1);
        }
        assertEquals(4, alone.sent(), "nobody else holds any");
    }

    @Test
    void aCapBesideARateIsHeldByShares() {
        EngineScript s = new EngineScript(EngineScript.SAFE, new Plan(50, 50, 4, 0, 0, 1, 0, 1)).servers(10);
        for (int i = 0; i < 5; i++) {
            s.request(1);
        }
        assertEquals(2, s.sent(), "half of the four");
    }

    @Test
    void twoInstancesShareNothing() {
        EngineScript a = script(1, 6);
        EngineScript b = script(1, 6);
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

    /** Guards against blocks for tries elsewhere that a customer at its end spends at each of many gateways. */
    @Test
    void aCustomerFoundSpentGetsNothingMoreHoweverCrowdedTheCounter() {
        EngineScript s = sparse();
        for (int i = 0; i < 6; i++) {
            long id = s.request(2, 100 + i, 50);
            s.counted(Outcome.REJECTED).ended(id, 0, s.serverOf(id), Outcome.OK, 50);
        }
        double units = 0;
        for (long asked = s.count("add"); s.count("add") == asked; units += 2) {
            long id = s.request(2, 5, 50);
            s.ended(id, 0, s.serverOf(id), Outcome.OK, 50);
        }
        assertTrue(units > 2, "some passed uncounted");
        assertEquals(units, s.lastAmount(), "its own units, those that passed uncounted among them, and no block");
        s.counted(30).counted(0).pass(50);
        long sent = s.sent();
        for (int i = 0; i < 10; i++) {
            long id = s.request(2, 5, 50);
            s.ended(id, 0, s.serverOf(id), Outcome.OK, 50);
        }
        assertTrue(s.sent() <= sent + 3, s.sent() - sent + " tries of 2 units, where the store holds 6 at most");
    }
}
