package stonelb.cli;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import stonelb.config.InvalidConfigurationException;
import stonelb.proxy.StubProxy;
import stonelb.standins.StubFleet;

/** Measures the time from discovery's watch event for a draining plan server until no proxy sends it new requests. */
final class DrainMeasurement {
    private static final int PROXIES = 100;
    private static final int PLAN_SERVERS = 12;
    private static final int QUICK_ROUNDS = 5;
    private static final int FULL_ROUNDS = 20;
    private static final int ROUND_TIMEOUT_SECONDS = 10;
    private static final int PAUSE_BETWEEN_ROUNDS_MS = 400;
    private static final double MICROS_PER_MS = 1000;
    private static final double P99_BOUND_MS = 250;
    private static final double MAX_BOUND_MS = 1000;

    private final MeasurementReport report;
    private final int rounds;
    private final Histogram latencyMicros = new Histogram(60_000_000L, 3);

    // Set for each round before the watch event is sent, read on the proxies' threads.
    private volatile String drainingHost; // null between rounds
    private volatile double startMs;
    private volatile CountDownLatch proxiesStillSending = new CountDownLatch(0);

    /**
     * Prepares the measurement.
     *
     * @param full whether to drain 20 plan servers, one at a time, instead of 5
     */
    DrainMeasurement(MeasurementReport report, boolean full) {
        this.report = report;
        this.rounds = full ? FULL_ROUNDS : QUICK_ROUNDS;
    }

    /** Drains plan servers one at a time and reports the latencies across all proxies. */
    void run() throws IOException, InterruptedException, InvalidConfigurationException {
        try (LocalDeployment deployment = new LocalDeployment(PLAN_SERVERS, PROXIES, QuotaPlan.MEASURED_SETTINGS, 0)) {
            deployment.startControlService();
            for (int index = 0; index < PROXIES; index++) {
                observe(deployment.startProxy("d" + index));
            }
            for (int round = 0; round < rounds; round++) {
                drain(deployment.platform(), "s-" + round % PLAN_SERVERS);
            }
        }
        report.check(
                "drain to 100 proxies, p99 ms", latencyMicros.getValueAtPercentile(99) / MICROS_PER_MS, P99_BOUND_MS);
        report.check("drain to 100 proxies, most ms", latencyMicros.getMaxValue() / MICROS_PER_MS, MAX_BOUND_MS);
    }

    private void drain(StubFleet platform, String serverName) throws InterruptedException {
        String address = platform.server(serverName).address();
        proxiesStillSending = new CountDownLatch(PROXIES);
        drainingHost = address.substring(0, address.indexOf(':'));
        startMs = MonotonicClock.nowMs();
        platform.setStatus(serverName, "terminating");
        if (!proxiesStillSending.await(ROUND_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            report.check("drain, proxies not reached", (double) proxiesStillSending.getCount(), 0);
        }
        drainingHost = null;
        platform.setStatus(serverName, "in_service");
        Thread.sleep(PAUSE_BETWEEN_ROUNDS_MS);
    }

    /** Records when the proxy stops sending new requests to the draining server, on the proxy's own thread. */
    private void observe(StubProxy proxy) {
        boolean[] stoppedSending = new boolean[1];
        proxy.controlClient().addResourceListener(() -> {
            boolean stopped = sendsNothingTo(proxy, drainingHost);
            if (stopped && !stoppedSending[0]) {
                recordLatency();
                proxiesStillSending.countDown();
            }
            stoppedSending[0] = stopped;
        });
    }

    private static boolean sendsNothingTo(StubProxy proxy, String host) {
        return host != null
                && proxy.controlClient().pools().values().stream().allMatch(pool -> pool.endpoints().stream()
                        .noneMatch(endpoint -> endpoint.address.equals(host) && endpoint.acceptsRequests()));
    }

    private synchronized void recordLatency() {
        latencyMicros.recordValue((long) ((MonotonicClock.nowMs() - startMs) * MICROS_PER_MS));
    }
}
