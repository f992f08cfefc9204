package stonelb.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonelb.config.InvalidConfigurationException;

/**
 * Measures how far proxies configured by the control service drift from gateways that receive the same traffic, at low
 * load, under overload and during faults.
 */
final class DriftMeasurement {
    private static final int CUSTOMERS = 200;
    private static final double QUICK_LENGTH_MS = 5000;
    private static final double FULL_LENGTH_MS = 30_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private static final TrafficShape WARM_UP = TrafficShape.steady("warm", 1);
    private static final int WARM_UP_CUSTOMERS = 50;
    private static final long WARM_UP_SEED = 7;
    private static final double WARM_UP_LENGTH_MS = 1500;

    private static final long FIRST_SEED = 12;
    private static final int FAILING_PROXY = 3;

    /** The units by which a customer may exceed its ceiling. */
    private static final double CEILING_SLACK_UNITS = 2;

    private static final List<Scenario> SCENARIOS = List.of(
            new Scenario(TrafficShape.steady("calm", 0.4), Fault.NONE),
            new Scenario(TrafficShape.steady("beyond", 2.5), Fault.NONE),
            new Scenario(new TrafficShape("burst", 0.5, QuotaPlan.CEILING, 5), Fault.NONE),
            new Scenario(TrafficShape.steady("restart", 0.5), Fault.CONTROL_SERVICE_RESTART),
            new Scenario(TrafficShape.steady("lost", 0.5), Fault.PROXY_FAILURE));

    private enum Fault {
        NONE,
        CONTROL_SERVICE_RESTART,
        PROXY_FAILURE
    }

    private record Scenario(TrafficShape shape, Fault fault) {}

    private final MeasurementReport report;
    private final double lengthMs;

    /**
     * Prepares the measurement.
     *
     * @param full whether to run each scenario for 30 s instead of 5 s
     */
    DriftMeasurement(MeasurementReport report, boolean full) {
        this.report = report;
        this.lengthMs = full ? FULL_LENGTH_MS : QUICK_LENGTH_MS;
    }

    /** Runs all scenarios and reports their figures. */
    void run() throws IOException, InterruptedException, InvalidConfigurationException {
        try (ComparedDeployments deployments = new ComparedDeployments()) {
            deployments.start();
            warmUp(deployments);
            long seed = FIRST_SEED;
            for (Scenario scenario : SCENARIOS) {
                runScenario(scenario, seed, deployments);
                seed++;
            }
        }
    }

    private static void warmUp(ComparedDeployments deployments) throws InterruptedException {
        TrafficGenerator generator = new TrafficGenerator(
                QuotaPlan.MEASURED, WARM_UP_CUSTOMERS, ComparedDeployments.ENTRY_POINTS, WARM_UP_LENGTH_MS);
        List<GeneratedRequest> requests = generator.generate(WARM_UP, WARM_UP_SEED);
        new TrafficReplay(deployments, requests, TrafficReplay.NO_PROXY, () -> {}).run();
    }

    private void runScenario(Scenario scenario, long seed, ComparedDeployments deployments)
            throws InterruptedException {
        TrafficGenerator generator =
                new TrafficGenerator(QuotaPlan.MEASURED, CUSTOMERS, ComparedDeployments.ENTRY_POINTS, lengthMs);
        List<GeneratedRequest> requests = generator.generate(scenario.shape(), seed);
        Map<Long, QuotaPlan> plansByCustomer = plansByCustomer(requests);
        LeaseMonitor leases = new LeaseMonitor(deployments.proxies(), plansByCustomer);
        int failingProxy = scenario.fault() == Fault.PROXY_FAILURE ? FAILING_PROXY : TrafficReplay.NO_PROXY;
        TrafficReplay replay =
                new TrafficReplay(deployments, requests, failingProxy, () -> injectFault(scenario, deployments));
        long startNanos = System.nanoTime();
        leases.start();
        replay.run();
        double leaseExcess = leases.stop();
        String name = scenario.shape().name();
        reportDrift(name, requests.size(), replay);
        double overCeiling = replay.proxyDrift()
                .candidateOverdraft(
                        customerId -> QuotaPlan.CEILING.equals(plansByCustomer.get(numericId(customerId))),
                        QuotaPlan.CEILING_UNITS_PER_SECOND,
                        QuotaPlan.CEILING_BURST);
        report.check(name + " ceiling passed by, units", overCeiling, CEILING_SLACK_UNITS);
        report.check(name + " leases over their bound", leaseExcess, 0);
        report.record(name + " seconds", (System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    }

    private static long numericId(String customerId) {
        return Long.parseLong(customerId, 16);
    }

    private static Map<Long, QuotaPlan> plansByCustomer(List<GeneratedRequest> requests) {
        Map<Long, QuotaPlan> plans = new HashMap<>();
        for (GeneratedRequest request : requests) {
            plans.put(numericId(request.customer().id()), request.customer().plan());
        }
        return plans;
    }

    private static void injectFault(Scenario scenario, ComparedDeployments deployments) {
        if (scenario.fault() != Fault.CONTROL_SERVICE_RESTART) {
            return;
        }
        try {
            deployments.proxies().restartControlService();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    private void reportDrift(String name, int requests, TrafficReplay replay) {
        DriftSummary drift = replay.proxyDrift().summarize(lengthMs);
        report.out()
                .printf(
                        "%s: %d tries, %.0f units through proxies, %.0f directly, %d of %d clinics beyond a second (%s)%n",
                        name,
                        requests,
                        drift.candidateUnits(),
                        drift.referenceUnits(),
                        drift.customersOutsideBand(),
                        drift.customers(),
                        drift.worstCustomer());
        report.out()
                .printf(
                        "  answers by status: proxies %s, directly %s%n",
                        new TreeMap<>(replay.proxyStatuses()), new TreeMap<>(replay.gatewayStatuses()));
        DriftSummary spread = replay.gatewayDrift().summarize(lengthMs);
        report.out()
                .printf(
                        "  two sets of gateways: %.0f and %.0f units, %d clinics beyond a second, worst %.0f units, %.1f s%n",
                        spread.candidateUnits(),
                        spread.referenceUnits(),
                        spread.customersOutsideBand(),
                        spread.units(),
                        spread.seconds());
        report.record(name + " spread of gateways, units", spread.units());
        report.record(name + " spread of gateways, clinics", spread.customersOutsideBand());
        report.record(name + " units followed", drift.candidateUnits());
        report.record(name + " units direct", drift.referenceUnits());
        report.record(name + " clinics beyond 1 s", drift.customersOutsideBand());
        report.check(name + " worst drift, units", drift.units(), 0);
        report.check(name + " worst drift, s", drift.seconds(), 1);
    }
}
