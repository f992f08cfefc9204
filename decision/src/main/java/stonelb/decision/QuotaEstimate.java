package stonelb.decision;

/** The last known number of units left of a quota. */
final class QuotaEstimate {
    private boolean known;
    private double units;
    private double updatedAtMs = Double.NEGATIVE_INFINITY;
    private double overdrawnAtMs = Double.NEGATIVE_INFINITY;

    void update(double now, double unitsLeft) {
        known = true;
        units = unitsLeft;
        updatedAtMs = now;
        overdrawnAtMs = unitsLeft < 0 ? now : overdrawnAtMs;
    }

    /** Marks the units as unknown; the times remain. */
    void invalidate() {
        known = false;
    }

    boolean isKnown() {
        return known;
    }

    /** The units left, negative for a debt. */
    double units() {
        return units;
    }

    /** Whether the last update was before this time. */
    boolean isBefore(double timeMs) {
        return updatedAtMs < timeMs;
    }

    /** The time since the last update. */
    double ageMs(double now) {
        return now - updatedAtMs;
    }

    /** The time since the last update that showed a debt. */
    double overdrawnAgeMs(double now) {
        return now - overdrawnAtMs;
    }
}
