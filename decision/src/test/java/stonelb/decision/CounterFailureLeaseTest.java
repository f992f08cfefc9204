package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Leases while the counter is overloaded or loses calls. */
class CounterFailureLeaseTest {
    /**
     * Guards against calls of a crowded counter that are added and never spent: the totals would say that a customer
     * has used its quota long before it has.
     */
    @Test
    void underACeilingWhatAnUnansweredCallAddedIsTakenByTheNextTry() {
        EngineScript s = new EngineScript(EngineScript.SAFE, LeaseScripts.CEILED, 0, 10).servers(10);
        s.request(1, 5, 9);
        assertEquals(1, s.lastAmount());
        s.counted(Outcome.TIMEOUT);
        assertEquals(0, s.sent(), "nobody has said that the store holds it");
        s.request(1, 5, 9);
        assertEquals(0, s.lastAmount(), "it is on the counter");
        s.counted(1);
        assertEquals(1, s.sent());
    }

    @Test
    void underACeilingACallThatWasLostLeasesNothing() {
        EngineScript s = new EngineScript(EngineScript.SAFE, LeaseScripts.CEILED, 0, 10).servers(10);
        s.request(1, 5, 9);
        s.counted(Outcome.TIMEOUT);
        s.request(1, 5, 9);
        s.counted(0);
        assertEquals(0, s.sent());
        assertEquals(1, s.lastAmount(), "the total shows that it was not added");
        s.counted(0).counted(0); // also what expired has its answer
        assertEquals(1, s.sent());
    }

    @Test
    void aCrowdedCounterIsAskedSeldomAndInLargerBlocks() {
        EngineScript s = LeaseScripts.sparse();
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
        EngineScript s = LeaseScripts.sparse();
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
        EngineScript one = LeaseScripts.script(0.001, 10);
        one.request(1);
        double added = one.lastAmount();
        one.counted(Outcome.RESET);
        long before = one.count("add");
        one.request(1);
        assertTrue(added > 1 && one.count("add") == before, "the block is held as added");
    }

    /** Guards against blocks for tries elsewhere that a customer at its end spends at each of many gateways. */
    @Test
    void aCustomerFoundSpentGetsNothingMoreHoweverCrowdedTheCounter() {
        EngineScript s = LeaseScripts.sparse();
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
