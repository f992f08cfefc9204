package stonelb.decision;

/** A limit of slots that scales with capacity; it is fractional, and only whole slots are used. */
final class SlotLimit {
    private double slots;
    private double capacity;

    double slots() {
        return slots;
    }

    void set(double slots) {
        this.slots = slots;
    }

    /** The usable whole slots, at least 1. */
    int wholeSlots() {
        return Math.max(1, (int) slots);
    }

    /** Scales the limit in proportion to the capacity; a capacity of 0 changes nothing. */
    void scaleTo(double newCapacity) {
        if (newCapacity > 0) {
            slots *= capacity > 0 ? newCapacity / capacity : 1;
            capacity = newCapacity;
        }
    }
}
