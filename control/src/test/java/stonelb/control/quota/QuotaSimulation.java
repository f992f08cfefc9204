package stonelb.control.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonelb.core.TimerQueue;
import stonelb.decision.AttemptLimits;
import stonelb.decision.CounterSettings;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DeduplicationScope;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.decision.Idempotency;
import stonelb.decision.Outcome;
import stonelb.decision.Plan;
import stonelb.decision.RequestClass;
import stonelb.decision.SlowStart;

/**
 * Proxies and their quotas on a virtual clock, with an emulated counter, beside gateways that serve the same traffic
 * directly with a counter of their own.
 */
final class QuotaSimulation implements TimerQueue.Alarm {
    static final double RATE = 2;
    static final double BURST = 8;
    static final int PROXIES = 4;
    static final int ENDPOINTS = 6;
    static final BucketKey KEY = new BucketKey(77, 0, PROXIES, 1, Map.of());

    private static final DecisionSettings SETTINGS = new DecisionSettings(
            PROXIES,
            List.of(
                    new RequestClass(1000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000, 3),
                    new RequestClass(2000, Idempotency.AT_MOST_ONCE, DeduplicationScope.ALL, 5000, 2)),
            List.of(new Plan(RATE, BURST, 0, 0, 0, 1, 0, 1)),
            new AttemptLimits(6, false, true, false, 1000),
            new SlowStart(0.19, 17_000, 1500),
            new CounterSettings(true, 50),
            2,
            false,
            false,
            1);
    private static final List<Double> DEADLINES_MS = List.of(4000.0, 7500.0);
    private static final LeaseTerms LEASE_TERMS = new LeaseTerms(300, 3000, 60_000);
    private static final double COUNTER_LATENCY_MS = 2;
    private static final double COUNTER_TIMEOUT_MS = 50;
    private static final double REPORT_ROUND_TRIP_MS = 5;
    private static final double ARRIVAL_INTERVAL_MS = 20;

    final List<ProxyQuota> quotas = new ArrayList<>();
    final List<EmulatedProxy> proxies = new ArrayList<>();
    final List<DirectGateway> directGateways = new ArrayList<>();

    /** Gateways with other random seeds, to measure how far runs of the engine differ by chance. */
    final List<DirectGateway> comparisonGateways = new ArrayList<>();

    final List<String> implausibleReports = new ArrayList<>();
    double now = 1000;
    boolean counterUnresponsive;

    private final TimerQueue timers = new TimerQueue(this);
    private final ThrottledCustomers throttledCustomers = new ThrottledCustomers();
    private final CounterMultiplexer counter = new EmulatedCounter().multiplexer;
    private double wakeAt = Double.MAX_VALUE;

    QuotaSimulation() {
        CounterMultiplexer directCounter = new EmulatedCounter().multiplexer;
        CounterMultiplexer comparisonCounter = new EmulatedCounter().multiplexer;
        List<Endpoint> endpoints = endpoints();
        for (int i = 0; i < PROXIES; i++) {
            addProxy(i);
            directGateways.add(new DirectGateway(timers, SETTINGS, KEY, directCounter, 42 + i, endpoints));
            comparisonGateways.add(new DirectGateway(timers, SETTINGS, KEY, comparisonCounter, 4200 + i, endpoints));
        }
    }

    /** A quota counter that responds after 2 ms, or times out after 50 ms while it is unresponsive. */
    private final class EmulatedCounter {
        private final Map<Long, Double> totals = new HashMap<>();
        private final CounterMultiplexer multiplexer = new CounterMultiplexer(this::add);

        private void add(long name, double amount, double expiryMs) {
            boolean unresponsive = counterUnresponsive;
            double total = unresponsive ? 0 : totals.merge(name, amount, Double::sum);
            double latencyMs = unresponsive ? COUNTER_TIMEOUT_MS : COUNTER_LATENCY_MS;
            Outcome outcome = unresponsive ? Outcome.TIMEOUT : Outcome.OK;
            timers.scheduleAfter(
                    latencyMs,
                    (answeredAt, token) -> multiplexer.counterAnswered(answeredAt, name, outcome, latencyMs, total),
                    0);
        }
    }

    private static List<Endpoint> endpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int id = 1; id <= ENDPOINTS; id++) {
            endpoints.add(new Endpoint(id, EndpointState.READY, 0, 1, 0, 0));
        }
        return endpoints;
    }

    private void addProxy(int index) {
        EmulatedProxy proxy = new EmulatedProxy();
        ProxyQuota quota = new ProxyQuota(
                "p" + index,
                SETTINGS,
                DEADLINES_MS,
                42 + index,
                timers,
                counter,
                throttledCustomers,
                LEASE_TERMS,
                assignment -> proxy.assigned(assignment, now),
                implausibleReports::add);
        quota.endpointsChanged(EndpointListType.CACHED, endpoints());
        quotas.add(quota);
        proxies.add(proxy);
    }

    /** Restarts the service: new quotas with the same counter, for proxies that keep their leases and their counts. */
    void restartService() {
        List<EmulatedProxy> previous = List.copyOf(proxies);
        quotas.forEach(ProxyQuota::close);
        quotas.clear();
        proxies.clear();
        for (int i = 0; i < PROXIES; i++) {
            addProxy(i);
            EmulatedProxy proxy = proxies.get(i);
            proxy.credit = previous.get(i).credit;
            proxy.expiresAt = previous.get(i).expiresAt;
            proxy.allowed = previous.get(i).allowed;
            proxy.totalSent = previous.get(i).totalSent;
            proxy.reportedAt = now;
        }
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void wakeAt(double whenMs) {
        wakeAt = whenMs;
    }

    void runFor(double ms) {
        double end = now + ms;
        while (wakeAt <= end) {
            now = Math.max(now, wakeAt);
            wakeAt = Double.MAX_VALUE;
            timers.runDue();
        }
        now = end;
    }

    /** A request arrives at a proxy and at its gateways. Without credit the proxy reports at once and retries. */
    void requestArrives(int index) {
        EmulatedProxy proxy = proxies.get(index);
        directGateways.get(index).requestArrives();
        comparisonGateways.get(index).requestArrives();
        if (!proxy.hasCredit(now)) {
            proxy.denied++;
            report(index);
            runFor(REPORT_ROUND_TRIP_MS);
        }
        if (proxy.hasCredit(now)) {
            proxy.send();
        }
    }

    /** Requests arrive at the proxies in turn, one every 20 ms, with a check after each. */
    void traffic(int requests, Runnable check) {
        for (int i = 0; i < requests; i++) {
            runFor(ARRIVAL_INTERVAL_MS);
            requestArrives(i % PROXIES);
            check.run();
        }
    }

    void report(int index) {
        EmulatedProxy proxy = proxies.get(index);
        if (!proxy.disconnected) {
            long allowed = proxy.allowed;
            long denied = proxy.denied;
            proxy.allowed = 0;
            proxy.denied = 0;
            double elapsedMs = now - proxy.reportedAt;
            proxy.reportedAt = now;
            quotas.get(index).usageReported(KEY, allowed, denied, elapsedMs);
        }
    }

    /** Requests that proxies allowed. */
    double sent() {
        return proxies.stream().mapToDouble(proxy -> proxy.totalSent).sum();
    }

    /** Requests that the gateways forwarded. */
    double sentDirectly() {
        return forwarded(directGateways);
    }

    /** Requests that the gateways with other random seeds forwarded. */
    double sentByComparison() {
        return forwarded(comparisonGateways);
    }

    private static double forwarded(List<DirectGateway> gateways) {
        return gateways.stream().mapToDouble(DirectGateway::forwarded).sum();
    }

    /** Units that unexpired leases still allow. */
    double leasedUnits() {
        return quotas.stream()
                .mapToDouble(quota -> quota.leasedUnits(KEY.customer()))
                .sum();
    }
}
