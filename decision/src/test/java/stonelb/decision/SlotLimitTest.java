package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The limit of slots that scales with capacity. */
class SlotLimitTest {
    @Test
    void onlyWholeSlotsAreUsableAndAtLeastOne() {
        SlotLimit limit = new SlotLimit();
        assertEquals(1, limit.wholeSlots());
        limit.set(3.9);
        assertEquals(3, limit.wholeSlots());
    }

    @Test
    void theLimitScalesWithTheCapacity() {
        SlotLimit limit = new SlotLimit();
        limit.set(8);
        limit.scaleTo(4);
        assertEquals(8, limit.slots(), "the first capacity");
        limit.scaleTo(2);
        assertEquals(4, limit.slots());
        limit.scaleTo(0);
        assertEquals(4, limit.slots(), "without any capacity, the last known one counts");
        limit.scaleTo(4);
        assertEquals(8, limit.slots());
    }
}
