package stonelb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Memory is counted once and returned whole, and whoever waits for memory gets it in order. */
class MemoryBudgetTest {
    private static final int SHARE_BYTES = 1000;

    private final MemoryBudget budget = new MemoryBudget(3 * SHARE_BYTES);

    /** A message that waits for memory; it is read once the memory is reserved. */
    private static final class LongMessage {
        private static final int LENGTH = 400;

        private final MemoryBudget.Account account;
        private final List<LongMessage> started;

        LongMessage(MemoryBudget.Share share, List<LongMessage> started, int firstBytes) {
            account = share.openForIncomplete();
            this.started = started;
            account.set(firstBytes);
        }

        void start() {
            if (account.reserve(LENGTH, this::start)) {
                started.add(this);
            }
        }
    }

    @Test
    void sharesAreLimitedIndependently() {
        MemoryBudget.Account input = budget.input().open();
        input.set(SHARE_BYTES);
        assertFalse(budget.input().fits(1));
        assertTrue(budget.requests().fits(SHARE_BYTES) && budget.responses().fits(SHARE_BYTES));
        input.set(budget.responses(), 501);
        assertEquals(0, budget.input().heldBytes());
        assertTrue(budget.responses().isUnderPressure());
        input.set(0);
        assertEquals(0, budget.responses().heldBytes());
    }

    /** review/9: messages were read on one by one while the complete ones before them were not taken. */
    @Test
    void completeMessagesHoldUpEvenTheFirstReservation() {
        List<LongMessage> started = new ArrayList<>();
        MemoryBudget.Account complete = budget.responses().open();
        complete.set(SHARE_BYTES - LongMessage.LENGTH / 2);
        new LongMessage(budget.responses(), started, 100).start();
        assertEquals(0, started.size());
        complete.set(100);
        assertEquals(1, started.size());
    }

    /** The first parts of many messages can exceed the limit; without a reservation beyond it, no message would end. */
    @Property(seed = "46", tries = 100)
    void messagesThatWaitAreReadInOrderAndAllAreReadToTheirEnd(@ForAll long seed) {
        Random random = new Random(seed);
        MemoryBudget.Share share = new MemoryBudget(3 * SHARE_BYTES).responses();
        List<LongMessage> started = new ArrayList<>();
        List<LongMessage> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(new LongMessage(share, started, random.nextInt(100)));
        }
        all.forEach(LongMessage::start);
        for (int ended = 0; ended < all.size(); ended++) {
            assertTrue(started.size() > ended, "a message is being read");
            started.get(ended).account.set(0);
        }
        assertEquals(all, started);
        assertEquals(0, share.heldBytes());
    }
}
