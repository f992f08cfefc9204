package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Calls of one customer to the counter, and the windows of its counter names. */
class CounterAccountTest {
    private static final double WINDOW_MS = 1000;

    private final EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED);
    private final Map<Long, Long> customers = new HashMap<>();
    private final CounterAccount account = account(7);

    private CounterAccount account(long customer) {
        return new CounterAccount(new LeaseContext(null, null, null, null, script, customers), customer, 60_000);
    }

    @Test
    void consecutiveWindowsHaveConsecutiveIndexesAndDifferentNames() {
        CounterWindow window = new CounterWindow(7);
        double age = window.ageMs(5000, WINDOW_MS);
        assertTrue(age >= 0 && age < WINDOW_MS);
        assertEquals(window.index(5000, WINDOW_MS) + 1, window.index(5000 + WINDOW_MS, WINDOW_MS));
        assertNotEquals(window.counterName(1), window.counterName(2));
        assertNotEquals(window.counterName(1), new CounterWindow(8).counterName(1));
    }

    @Test
    void onlyTheNameOfTheCurrentWindowIsRegistered() {
        assertTrue(account.moveToWindow(5000, WINDOW_MS));
        assertFalse(account.moveToWindow(5000, WINDOW_MS));
        long name = customers.keySet().iterator().next();
        assertTrue(account.isCurrent(name));
        assertTrue(account.moveToWindow(5000 + WINDOW_MS, WINDOW_MS));
        assertFalse(account.isCurrent(name));
        assertEquals(1, customers.size());
        assertEquals(7L, customers.values().iterator().next());
        account.close();
        assertTrue(customers.isEmpty());
    }

    @Test
    void anAccountWithoutAWindowHasNoName() {
        assertTrue(customers.isEmpty());
        assertFalse(account.isCurrent(0));
    }

    /** Customer 0 has the counter name 0 in window 0. */
    @Test
    void counterName0IsKeptWhenAccountsWithoutAWindowMoveOrClose() {
        CounterAccount customer0 = account(0);
        assertTrue(customer0.moveToWindow(0, WINDOW_MS));
        assertTrue(customer0.isCurrent(0));
        assertEquals(Map.of(0L, 0L), customers);
        account(8).close();
        assertEquals(0L, customers.get(0L));
        account.moveToWindow(0, WINDOW_MS);
        assertEquals(0L, customers.get(0L));
        customer0.close();
        assertFalse(customers.containsKey(0L));
    }

    @Test
    void answersAreMatchedToCallsInOrder() {
        account.moveToWindow(5000, WINDOW_MS);
        account.query(3);
        account.adjust(-1);
        assertEquals(2, script.countActions("add "));
        assertTrue(account.isQuerying());
        assertTrue(account.callAnswered());
        assertFalse(account.isQuerying());
        assertFalse(account.callAnswered(), "the second call is an adjustment");
        assertFalse(account.callAnswered(), "no call is pending");
    }

    @Test
    void aTotalShowsWhatOthersHaveAdded() {
        account.moveToWindow(5000, WINDOW_MS);
        account.query(3);
        assertEquals(4, account.addedByOthers(7));
        account.addUnconfirmed(2);
        account.totalReceived(7);
        assertEquals(0, account.unconfirmed());
        account.expire(5);
        assertEquals(5, account.expiring());
        account.expiryAnswered();
        assertEquals(0, account.expiring());
        account.query(1);
        assertEquals(2, account.addedByOthers(15));
    }

    @Test
    void aNewWindowResetsTheTotalsAndPendingCalls() {
        account.moveToWindow(5000, WINDOW_MS);
        account.query(3);
        account.totalReceived(7);
        account.addUnconfirmed(2);
        account.expire(5);
        account.moveToWindow(5000 + WINDOW_MS, WINDOW_MS);
        assertEquals(0, account.unconfirmed());
        assertEquals(0, account.expiring());
        assertEquals(4, account.addedByOthers(7));
        assertFalse(account.callAnswered(), "calls under the old name are no longer pending");
    }
}
