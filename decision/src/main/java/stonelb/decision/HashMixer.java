package stonelb.decision;

/** The 64-bit finalizer of MurmurHash3, which spreads consecutive numbers over the whole range. */
final class HashMixer {
    private HashMixer() {}

    /** The hash of a number; different numbers have different hashes. */
    static long mix(long value) {
        long hash = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
