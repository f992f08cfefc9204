package stonelb.control;

/**
 * A proxy's report on one endpoint, since its last report.
 *
 * @param address {@code host:port} as the proxy knows the endpoint
 * @param succeeded requests answered without error
 * @param failed requests that ended with an error
 * @param inFlight requests in flight at the time of the report
 * @param totalLatencyMs sum of the latencies of the measured requests
 * @param measured requests whose latency was measured
 */
record EndpointLoadReport(
        String address, long succeeded, long failed, long inFlight, double totalLatencyMs, long measured) {}
