package stonelb.control.quota;

/** An emulated proxy: its credit and its use since the last report. Times in milliseconds. */
final class EmulatedProxy {
    long credit;
    double expiresAt = Double.NEGATIVE_INFINITY;
    long allowed;
    long denied;
    double reportedAt;
    double totalSent;
    boolean disconnected;

    boolean hasCredit(double now) {
        return credit > 0 && now < expiresAt;
    }

    void assigned(QuotaAssignment assignment, double now) {
        if (!assignment.abandoned() && !disconnected) {
            credit = assignment.credit() - allowed;
            expiresAt = now + assignment.timeToLiveMs();
        }
    }

    void send() {
        credit--;
        allowed++;
        totalSent++;
    }
}
