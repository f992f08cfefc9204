package stonelb.decision;

/** The unspent units of a customer's lease, and the customer's smoothed usage. */
final class LeaseBalance {
    private double unspent;
    private double usableAtMs;
    private double lastBlock;
    private double unitsPerMs;
    private double meanUnits;
    private double refreshedAtMs;

    LeaseBalance(double now, double firstUnits) {
        meanUnits = firstUnits;
        refreshedAtMs = now;
    }

    /** Units leased but not spent; negative if requests were admitted before their units were leased. */
    double unspent() {
        return unspent;
    }

    void add(double units) {
        unspent += units;
    }

    /** Drops the unspent units; a debt remains. */
    void dropUnspent() {
        unspent = Math.min(unspent, 0);
    }

    /** Removes units that are returned to the quota, at most those unspent. */
    void returnUnits(double units) {
        unspent = Math.max(0, unspent - units);
    }

    /** Reduces a debt by up to this many units. */
    void payDebt(double units) {
        unspent = Math.min(unspent + units, Math.max(unspent, 0));
    }

    /** The time from which the unspent units may be used. */
    double usableAtMs() {
        return usableAtMs;
    }

    void setUsableAt(double timeMs) {
        usableAtMs = timeMs;
    }

    /** The size of the last block requested, without the debt that it covers. */
    double lastBlock() {
        return lastBlock;
    }

    void setLastBlock(double units) {
        lastBlock = units;
    }

    /** Records that the balance is brought up to date; returns the time since this was last done. */
    double refresh(double now) {
        double elapsedMs = now - refreshedAtMs;
        refreshedAtMs = now;
        return elapsedMs;
    }

    double refreshedAtMs() {
        return refreshedAtMs;
    }

    /** The smoothed usage in units per millisecond. */
    double unitsPerMs() {
        return unitsPerMs;
    }

    void decayUsage(double factor) {
        unitsPerMs *= factor;
    }

    /** The smoothed size of a request in units. */
    double meanUnits() {
        return meanUnits;
    }

    /** Adds a request to the smoothed usage and size. */
    void recordUsage(double units, double unitsPerMsIncrease, double sizeWeight) {
        unitsPerMs += unitsPerMsIncrease;
        meanUnits += sizeWeight * (units - meanUnits);
    }
}
