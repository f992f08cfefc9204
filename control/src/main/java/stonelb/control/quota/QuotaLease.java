package stonelb.control.quota;

/**
 * The lease of one bucket at one proxy: how many requests the decision engine granted, how many the proxy reported as
 * used, and when the remaining credit expires. It does no I/O and calls no other component.
 *
 * <p>All amounts are requests of the bucket's cost, counted from the bucket's first report. The total granted never
 * exceeds what the engine forwarded. The total used may exceed the total granted, by what a proxy sent under its
 * fallback rate or between a report and the resulting assignment. The engine has to grant this excess as well before
 * the credit rises above zero.
 *
 * <p>Times are milliseconds of the clock of {@link stonelb.core.TimerQueue}.
 */
final class QuotaLease {
    /** Time constant of the exponential decay of the demand estimate. */
    private static final double DEMAND_SMOOTHING_MS = 700;

    /** After this long without demand a bucket is granted no credit. */
    private static final double DEMAND_IDLE_MS = 10_000;

    /** Shortest time over which a burst of demand is averaged. */
    private static final double MIN_DEMAND_SPAN_MS = 100;

    /** How far the time that reports cover may exceed the time that has passed: clock drift and network delay. */
    private static final double CLOCK_TOLERANCE_MS = 1000;

    /** Longest time that one report may cover. */
    private static final double MAX_REPORT_SPAN_MS = 86_400_000;

    private static final int NEVER_ASSIGNED = -1;

    private final BucketKey key;
    private final double openedAt;
    private double reportedSpanMs;
    private double lastReportAt;
    private double demandPerMs;
    private double lastDemandAt = Double.NEGATIVE_INFINITY;
    private long granted;
    private long used;
    private boolean deniedSinceGrant;
    private long lastDenied;
    private int pendingRequests;
    private double expiresAt = Double.NEGATIVE_INFINITY;
    private long assignedCredit = NEVER_ASSIGNED;
    private long grantedAtAssignment;
    private boolean changed;

    QuotaLease(BucketKey key, double now) {
        this.key = key;
        openedAt = now;
        lastReportAt = now;
    }

    BucketKey key() {
        return key;
    }

    /**
     * Records a usage report ({@code BucketQuotaUsage} of rate_limit_quota.v3). Counts are unsigned on the wire, so a
     * very large one arrives here as a negative number.
     *
     * @param allowed requests that the proxy allowed since its last report
     * @param denied requests that the proxy denied since its last report
     * @param elapsedMs the time that the report covers
     * @param maxRequests the most requests beyond the credit that one report may claim
     * @return why the report is implausible, or null; requests beyond what it may claim are not counted
     */
    String reportUsage(double now, long allowed, long denied, double elapsedMs, long maxRequests) {
        if (allowed < 0 || denied < 0 || !(elapsedMs >= 0) || elapsedMs > MAX_REPORT_SPAN_MS) {
            return "a count below 0 or a time out of range";
        }
        // Reports can't cover more time than has passed: this one is a duplicate, or the proxy's clock runs fast.
        boolean exceedsTime = reportedSpanMs + elapsedMs > now - openedAt + CLOCK_TOLERANCE_MS;
        if (!exceedsTime) {
            reportedSpanMs += elapsedMs;
        }
        long unused = Math.max(0, granted - used);
        long maxAllowed = unused + maxRequests;
        used += Math.min(allowed, exceedsTime ? unused : maxAllowed);
        lastDenied = Math.min(denied, maxRequests);
        updateDemand(now, elapsedMs, (double) (Math.min(allowed, maxAllowed) + lastDenied));
        deniedSinceGrant = denied > 0;
        changed = true;
        if (exceedsTime) {
            return "it covers more time than has passed";
        }
        return allowed > maxAllowed ? allowed + " requests, far over the lease" : null;
    }

    private void updateDemand(double now, double elapsedMs, double requests) {
        double spanMs = Math.max(1, Math.max(elapsedMs, now - lastReportAt));
        lastReportAt = now;
        double decay = Math.exp(-spanMs / DEMAND_SMOOTHING_MS);
        double burst = requests / Math.max(spanMs, MIN_DEMAND_SPAN_MS);
        demandPerMs = Math.max(burst, demandPerMs * decay + (1 - decay) * requests / spanMs);
        if (requests > 0) {
            lastDemandAt = now;
        }
    }

    /**
     * The number of requests to simulate so that the credit covers the demand of the next {@code horizonMs}.
     *
     * @param maxAhead the most credit that the lease may hold ahead of use
     * @param throttled whether the customer was rejected recently: then only requests that the proxy has just denied
     *     are simulated, and none ahead of demand
     */
    long requestsToSimulate(double now, double horizonMs, long maxAhead, boolean throttled) {
        if (now - lastDemandAt > DEMAND_IDLE_MS || (throttled && !deniedSinceGrant)) {
            return 0;
        }
        long denied = deniedSinceGrant ? Math.min(Math.max(1, maxAhead), lastDenied) : 0;
        double target = Math.max(Math.min((double) maxAhead, expectedDemand(now, horizonMs)), (double) denied);
        return Math.max(0, (long) target - credit() - pendingRequests);
    }

    /** The expected demand, rounded: with less than half a request expected, the proxy holds no credit. */
    private double expectedDemand(double now, double horizonMs) {
        double currentDemandPerMs = demandPerMs * Math.exp(-(now - lastReportAt) / DEMAND_SMOOTHING_MS);
        return Math.floor(currentDemandPerMs * horizonMs + 0.5);
    }

    /** Records that a simulated request is submitted; {@link #grant} or {@link #reject} follows. */
    void submit() {
        pendingRequests++;
    }

    /** Records that the engine forwarded a simulated request, and adds it to the credit. */
    void grant() {
        pendingRequests--;
        granted++;
        deniedSinceGrant = false;
        changed = true;
    }

    /** Records that the engine rejected a simulated request. */
    void reject() {
        pendingRequests--;
        changed = true;
    }

    /** Requests that the proxy may still send; negative by the number sent in excess. */
    private long credit() {
        return granted - used;
    }

    /** Requests that the proxy may still send before the lease expires; 0 once it has expired. */
    long outstandingCredit(double now) {
        return now < expiresAt ? Math.max(0, credit()) : 0;
    }

    /** Expires the lease if its time to live is over. */
    void expireIfOver(double now) {
        if (now >= expiresAt && assignedCredit != NEVER_ASSIGNED) {
            expire();
        }
    }

    /** Expires the lease. Credit whose use was not reported counts as used, since the proxy may have used it. */
    void expire() {
        used = Math.max(used, granted);
        changed = false;
    }

    long totalGranted() {
        return granted;
    }

    long totalUsed() {
        return used;
    }

    double lastReportAt() {
        return lastReportAt;
    }

    boolean isIdle(double now) {
        return now - lastDemandAt > DEMAND_IDLE_MS && pendingRequests == 0;
    }

    /**
     * Whether the proxy needs a new assignment: more was granted, the credit has run out, or less than half of the
     * time to live is left. The proxy knows its own use, so use alone needs no assignment.
     */
    boolean needsAssignment(double now, double timeToLiveMs) {
        return changed
                && (assignedCredit == NEVER_ASSIGNED
                        || granted != grantedAtAssignment
                        || (credit() <= 0 && assignedCredit > 0)
                        || expiresAt - now < timeToLiveMs / 2);
    }

    /**
     * Renews the lease with the current credit.
     *
     * @return the credit to assign, at least 0
     */
    long assign(double now, double timeToLiveMs) {
        assignedCredit = Math.max(0, credit());
        grantedAtAssignment = granted;
        expiresAt = now + timeToLiveMs;
        changed = false;
        return assignedCredit;
    }
}
