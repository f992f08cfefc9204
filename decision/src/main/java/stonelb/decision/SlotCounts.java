package stonelb.decision;

import java.util.Arrays;

/** The attempts in flight and the reserved slots of each tier. */
final class SlotCounts {
    private final int[] reserves;
    private final int[] inFlight;
    private int totalInFlight;

    SlotCounts(int tiers) {
        reserves = new int[tiers];
        inFlight = new int[tiers];
    }

    void acquire(int tier) {
        inFlight[tier]++;
        totalInFlight++;
    }

    void release(int tier) {
        inFlight[tier]--;
        totalInFlight--;
    }

    int totalInFlight() {
        return totalInFlight;
    }

    /** The free slots of the tier's reserve, negative while the tier uses shared slots. */
    int freeReserved(int tier) {
        return reserves[tier] - inFlight[tier];
    }

    /** The free shared slots, given the total number of slots. */
    int freeShared(int slots) {
        int free = slots;
        for (int tier = 0; tier < reserves.length; tier++) {
            free -= Math.max(reserves[tier], inFlight[tier]);
        }
        return free;
    }

    void setReserves(int[] slotsByTier) {
        System.arraycopy(slotsByTier, 0, reserves, 0, reserves.length);
    }

    /** Per tier, its reserve plus all shared slots, given the total number of slots; at least 1. */
    int[] limits(int slots) {
        int shared = slots - Arrays.stream(reserves).sum();
        return Arrays.stream(reserves)
                .map(reserve -> Math.max(1, reserve + shared))
                .toArray();
    }
}
