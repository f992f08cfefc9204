package stonelb.decision;

/** One customer's cap on attempts in flight. Gateways share their numbers through the counter. */
record InFlightCap(QuotaTerms terms, CounterHealth counter, CounterAccount account, PeakReport peak) {
    private static final double REPORT_INTERVAL_MS = 250; // a higher peak is reported at once

    boolean isReached() {
        int cap = terms.plan().maxInFlight();
        return cap > 0 && peak.inFlight() >= limit(cap, cap / terms.spread());
    }

    private int limit(int cap, int share) {
        if (terms.plan().hasRate()) {
            return Math.max(1, share);
        }
        return terms.reportsInFlight() ? Math.max(share, cap - peak.inFlightElsewhere()) : cap;
    }

    void report(double now) {
        boolean lowerDue = peak.isLowerReportDue(now);
        boolean mayReport = terms.reportsInFlight() && !account.isQuerying() && counter.mayCall(now);
        if (mayReport && (lowerDue || peak.isHigherReportDue())) {
            if (account.moveToWindow(now, terms.windowMs())) {
                peak.resetReported();
            }
            account.query(peak.startReport(lowerDue, now + REPORT_INTERVAL_MS));
        }
    }
}
