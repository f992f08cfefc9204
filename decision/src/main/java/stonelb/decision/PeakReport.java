package stonelb.decision;

/** The attempts in flight at this gateway, their peak since the last report, and the number reported. */
final class PeakReport {
    private int inFlight;
    private int peak;
    private double reported;
    private double nextReportAtMs;
    private int inFlightElsewhere;

    int inFlight() {
        return inFlight;
    }

    void attemptAdmitted() {
        peak = Math.max(peak, inFlight + 1);
    }

    void attemptSent() {
        inFlight++;
    }

    void attemptEnded() {
        inFlight--;
    }

    /** Whether the peak is over and a lower number is due to be reported. */
    boolean isLowerReportDue(double now) {
        return now >= nextReportAtMs && peak > inFlight;
    }

    /** Whether the peak is higher than the number reported. */
    boolean isHigherReportDue() {
        return peak > reported;
    }

    /** Resets the number reported, as the sum of the gateways' reports restarts at 0. */
    void resetReported() {
        reported = 0;
    }

    /** Starts a report; returns the amount to add to the sum of the gateways' reports. */
    double startReport(boolean lower, double nextReportAtMs) {
        peak = lower ? inFlight : peak;
        this.nextReportAtMs = nextReportAtMs;
        return peak - reported;
    }

    /** Records that this amount was added, and the resulting sum of all gateways' reports. */
    void reportAdded(double amount, double sum) {
        reported += amount;
        inFlightElsewhere = (int) Math.max(0, Math.round(sum) - reported);
    }

    /** The number of attempts in flight at other gateways by the last report. */
    int inFlightElsewhere() {
        return inFlightElsewhere;
    }

    void setInFlightElsewhere(int attempts) {
        inFlightElsewhere = attempts;
    }
}
