package stonelb.control.quota;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import stonelb.core.TimerQueue;
import stonelb.decision.DecisionSettings;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;

/**
 * The quota leases and endpoint weights of one proxy. Each proxy has its own decision engine, which treats it like a
 * gateway.
 *
 * <p>The demand that the proxy reports is submitted to the engine as simulated requests, slightly ahead of time. Each
 * that the engine forwards adds one request of credit to the proxy's lease, and the choice of endpoint counts towards
 * that endpoint's weight. Load reports are returned to the engine as the results of these attempts. Admission, division
 * of quota and choice of endpoints are left to the engine.
 *
 * <p>Does no I/O and is used by one thread. Times are milliseconds of the clock of {@link TimerQueue}.
 */
public final class ProxyQuota {
    /** Longest time that the first report of a bucket may cover. */
    private static final double MAX_FIRST_REPORT_SPAN_MS = 60_000;

    private final String name;
    private final TimerQueue timers;
    private final ThrottledCustomers throttledCustomers;
    private final LeaseTerms leaseTerms;
    private final Consumer<String> implausibleReports;
    private final LeaseLimits leaseLimits;
    private final EndpointWeights endpointWeights;
    private final PendingAssignments assignments;
    private final RequestSimulator simulator;
    private final Map<BucketKey, QuotaLease> leases = new LinkedHashMap<>();
    private boolean reachable = true;

    /**
     * Creates the quota of a proxy that holds no leases yet.
     *
     * @param name the node name of the proxy, for messages
     * @param settings of the decision engine
     * @param deadlinesMs by request class, the time limit of its requests
     * @param seed of the engine's random numbers
     * @param counter the quota counter, shared with the other proxies
     * @param throttledCustomers shared with the other proxies
     * @param assignmentListener called with each assignment for the proxy
     * @param implausibleReports called with a description of each implausible report
     */
    public ProxyQuota(
            String name,
            DecisionSettings settings,
            List<Double> deadlinesMs,
            long seed,
            TimerQueue timers,
            CounterMultiplexer counter,
            ThrottledCustomers throttledCustomers,
            LeaseTerms leaseTerms,
            AssignmentListener assignmentListener,
            Consumer<String> implausibleReports) {
        this.name = name;
        this.timers = timers;
        this.throttledCustomers = throttledCustomers;
        this.leaseTerms = leaseTerms;
        this.implausibleReports = implausibleReports;
        leaseLimits = new LeaseLimits(settings.plans(), leaseTerms.horizonMs());
        endpointWeights = new EndpointWeights(settings.slowStart());
        assignments = new PendingAssignments(timers, leaseTerms.timeToLiveMs(), assignmentListener);
        simulator = new RequestSimulator(
                settings, deadlinesMs, seed, timers, counter, throttledCustomers, endpointWeights, assignments);
    }

    /** The node name of the proxy. */
    public String name() {
        return name;
    }

    /** Applies an endpoint list, in the form in which gateways receive it. */
    public void endpointsChanged(EndpointListType type, List<Endpoint> endpoints) {
        endpointWeights.endpointsChanged(type, endpoints);
        simulator.endpointsChanged(type, endpoints);
    }

    /** Sets whether assignments can reach the proxy. While they can't, no credit is granted. */
    public void setReachable(boolean reachable) {
        this.reachable = reachable;
    }

    /**
     * Handles a usage report of the proxy on one bucket.
     *
     * @param allowed requests that it allowed since its last report on this bucket
     * @param denied requests that it denied since its last report on this bucket
     * @param elapsedMs the time that the report covers, in milliseconds
     * @return why the report is implausible, or null; an implausible report is limited to the credit of the lease
     */
    public String usageReported(BucketKey key, long allowed, long denied, double elapsedMs) {
        double now = timers.now();
        QuotaLease lease = leases.get(key);
        if (lease == null) {
            lease = new QuotaLease(key, now - firstReportSpanMs(elapsedMs));
            leases.put(key, lease);
        }
        String implausibility =
                lease.reportUsage(now, allowed, denied, elapsedMs, leaseLimits.maxRequestsPerReport(key));
        if (implausibility != null) {
            implausibleReports.accept(name + ": clinic " + Long.toHexString(key.customer()) + ": " + implausibility);
        }
        simulateDemand(now, lease);
        assignments.flush(now);
        return implausibility;
    }

    /** How long a bucket may have been in use before its first report, in milliseconds. */
    private static double firstReportSpanMs(double elapsedMs) {
        return elapsedMs > 0 ? Math.min(elapsedMs, MAX_FIRST_REPORT_SPAN_MS) : 0;
    }

    private void simulateDemand(double now, QuotaLease lease) {
        BucketKey key = lease.key();
        boolean throttled = throttledCustomers.isThrottled(key.customer(), now);
        long count =
                lease.requestsToSimulate(now, leaseTerms.horizonMs(), leaseLimits.maxRequestsAhead(key), throttled);
        simulator.simulate(now, lease, reachable ? count : 0);
        assignments.leaseChanged(lease);
    }

    /**
     * Handles a load report (load_stats.v3) on one endpoint, for the time since the last one.
     *
     * @param successes requests that were answered
     * @param errors requests that failed
     * @param inFlight requests in flight; the weights don't depend on them
     * @param latencySumMs the sum of the latencies that were measured, in milliseconds
     * @param measured how many latencies were measured
     */
    public void loadReported(
            long endpoint, long successes, long errors, long inFlight, double latencySumMs, long measured) {
        LoadReport report = new LoadReport(successes, errors, latencySumMs, measured);
        endpointWeights.loadReported(timers.now(), endpoint, report);
    }

    /** Counts requests of a class that the proxy has sent. Simulated requests have the same mix of classes. */
    public void classObserved(int requestClass, long issued) {
        simulator.classObserved(requestClass, issued);
    }

    /** Expires leases whose time to live is over and drops buckets without demand. Has to be called periodically. */
    public void removeIdle() {
        double now = timers.now();
        leases.values().removeIf(lease -> expireAndDrop(now, lease));
    }

    private boolean expireAndDrop(double now, QuotaLease lease) {
        lease.expireIfOver(now);
        boolean drop = lease.isIdle(now) && now - lease.lastReportAt() > leaseTerms.idleMs();
        if (drop) {
            assignments.abandon(lease.key());
        }
        return drop;
    }

    /** Expires all leases; called once the proxy is not expected to reconnect. */
    public void close() {
        simulator.close();
        assignments.close();
        leases.values().forEach(QuotaLease::expire);
    }

    /** The most requests that the proxy may have in flight, by tier: the tier's reserve and the shared slots. */
    public int[] slotLimits() {
        return simulator.slotLimits();
    }

    /** The tier of a class and a plan, from 0, the cheapest. */
    public int tierOf(int requestClass, int plan) {
        return simulator.tierOf(requestClass, plan);
    }

    /** The units of one customer that unexpired leases still allow. */
    public double leasedUnits(long customer) {
        double now = timers.now();
        return leases.values().stream()
                .filter(lease -> lease.key().customer() == customer)
                .mapToDouble(lease -> lease.outstandingCredit(now) * lease.key().cost())
                .sum();
    }

    /** The state of each bucket, in the order of their first reports. */
    public List<BucketStatus> bucketStatuses() {
        double now = timers.now();
        return leases.values().stream()
                .map(lease -> new BucketStatus(
                        lease.key(), lease.totalGranted(), lease.totalUsed(), lease.outstandingCredit(now)))
                .toList();
    }

    /** Whether the proxy has reported on this bucket. */
    public boolean hasBucket(BucketKey key) {
        return leases.containsKey(key);
    }

    /** The number of buckets that the proxy has reported on. */
    public int bucketCount() {
        return leases.size();
    }

    /** The time of the last load report on any endpoint, or negative infinity. */
    public double lastLoadReportAt() {
        return endpointWeights.lastLoadReportAt();
    }

    /**
     * Calculates the weights of the endpoints that are ready, from the engine's choices since the last call relative to
     * their mean. An endpoint in slow start gets at most the capacity that its ramp guarantees.
     *
     * @return weights from 1 to 128 by endpoint; a weight stays the same unless it changes by more than a fifth, so
     *     that versions of resources change only with their content
     */
    public Map<Long, Integer> weights() {
        return endpointWeights.update(timers.now());
    }
}
