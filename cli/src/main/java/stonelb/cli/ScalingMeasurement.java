package stonelb.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import stonelb.config.InvalidConfigurationException;

/** Measures how the costs of the control service grow with the number of proxy streams. */
final class ScalingMeasurement {
    private static final List<Integer> STREAM_COUNTS = List.of(10, 100, 1000);
    private static final int CUSTOMERS_PER_STREAM = 10;
    private static final int PROXIES_PER_CUSTOMER = 4;
    private static final int PLAN_SERVERS = 12;
    private static final double BYTES_PER_MB = 1048576.0;
    private static final double BYTES_PER_KB = 1024;

    private static final double CHANGE_BOUND_PERCENT = 1;
    private static final double ACKNOWLEDGEMENT_BOUND_MS = 1000;
    private static final double HEAP_BOUND_MB = 1024;

    private final MeasurementReport report;

    ScalingMeasurement(MeasurementReport report) {
        this.report = report;
    }

    /**
     * Measures each number of streams in turn.
     *
     * @param plotFile where to write a chart of the results as PNG; null for no chart
     */
    void run(Path plotFile) throws IOException, InterruptedException, InvalidConfigurationException {
        List<ScalingChart.Point> points = new ArrayList<>();
        for (int streams : STREAM_COUNTS) {
            points.add(measure(streams));
        }
        if (plotFile != null) {
            ScalingChart.write(points, plotFile);
            report.out().println("plot: " + plotFile);
        }
    }

    private ScalingChart.Point measure(int streams)
            throws IOException, InterruptedException, InvalidConfigurationException {
        int customers = CUSTOMERS_PER_STREAM * streams;
        try (LocalDeployment deployment =
                new LocalDeployment(PLAN_SERVERS, PROXIES_PER_CUSTOMER, QuotaPlan.MEASURED_SETTINGS, 0)) {
            deployment.startControlService();
            AdsStreamLoad.Result ads = AdsStreamLoad.measure(deployment, streams);
            try (QuotaStreamLoad load = new QuotaStreamLoad(deployment, streams)) {
                QuotaStreamLoad.Result quotas = load.measure(customers, PROXIES_PER_CUSTOMER);
                double heapMb = usedHeapMb();
                print(streams, customers, ads, quotas, heapMb);
                reportFigures(streams, ads, quotas, heapMb);
                double changeKb = ads.changeBytes() * streams / BYTES_PER_KB;
                return new ScalingChart.Point(streams, ads.p99Ms(), quotas.p99Ms(), heapMb, changeKb);
            }
        }
    }

    private void print(
            int streams, int customers, AdsStreamLoad.Result ads, QuotaStreamLoad.Result quotas, double heapMb) {
        report.out()
                .printf(
                        "%d streams: a full push %.0f bytes a stream, one changed endpoint %.0f; %d clinics in %d buckets, "
                                + "%d assigned, all reported at once, 99%% after %.0f ms; heap of the whole process %.0f MB%n",
                        streams,
                        ads.fullBytes(),
                        ads.changeBytes(),
                        customers,
                        quotas.buckets(),
                        quotas.assigned(),
                        quotas.p99Ms(),
                        heapMb);
    }

    private void reportFigures(int streams, AdsStreamLoad.Result ads, QuotaStreamLoad.Result quotas, double heapMb) {
        String prefix = streams + " streams, ";
        report.record(prefix + "full push bytes", ads.fullBytes());
        report.record(prefix + "buckets", quotas.buckets());
        report.check(prefix + "change of full, %", 100 * ads.changeBytes() / ads.fullBytes(), CHANGE_BOUND_PERCENT);
        report.check(prefix + "change to ack p99 ms", ads.p99Ms(), ACKNOWLEDGEMENT_BOUND_MS);
        report.check(prefix + "buckets without answer", quotas.buckets() - quotas.assigned(), 0);
        report.record(prefix + "report to assignment p99 ms", quotas.p99Ms());
        report.check(prefix + "heap MB", heapMb, HEAP_BOUND_MB);
    }

    /** The heap of this process, which holds the simulated proxies as well, after a garbage collection. */
    private static double usedHeapMb() {
        Runtime runtime = Runtime.getRuntime();
        runtime.gc();
        return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB;
    }
}
