package stonelb.control.quota;

/** The load of one endpoint as one proxy reports it, with the engine's choices and the resulting weight. */
final class EndpointLoad {
    /** The latency average weighs as much as this many new measurements. */
    private static final double PRIOR_RESPONSES = 8;

    private static final double MAX_PENDING_ERRORS = 1000;

    private double latencyMs;
    private double responses;
    private double pendingErrors;
    private double lastReportAt = Double.NEGATIVE_INFINITY;
    private double choices;
    private int publishedWeight;

    void loadReported(double now, LoadReport report) {
        lastReportAt = now;
        pendingErrors = Math.min(MAX_PENDING_ERRORS, pendingErrors + report.errors());
        long measured = report.measured();
        if (measured > 0) {
            double gain = responses == 0 ? 1 : measured / (measured + PRIOR_RESPONSES);
            latencyMs += gain * (report.latencySumMs() / measured - latencyMs);
            responses += report.successes();
        }
    }

    /** The average latency in milliseconds, or {@code defaultMs} before the first measurement. */
    double latencyMs(double defaultMs) {
        return responses > 0 ? latencyMs : defaultMs;
    }

    /** Consumes one reported error that was not passed to the engine yet; false if there is none. */
    boolean consumeError() {
        if (pendingErrors < 1) {
            return false;
        }
        pendingErrors--;
        return true;
    }

    void countChoice() {
        choices++;
    }

    /** Multiplies the number of choices by this factor. */
    void decayChoices(double factor) {
        choices *= factor;
    }

    /** How often the engine chose the endpoint; earlier choices weigh less. */
    double choices() {
        return choices;
    }

    /** The time of the last load report, or negative infinity. */
    double lastReportAt() {
        return lastReportAt;
    }

    /** The weight last published to the proxy, or 0. */
    int publishedWeight() {
        return publishedWeight;
    }

    void publishWeight(int weight) {
        publishedWeight = weight;
    }
}
