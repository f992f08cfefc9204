package stonelb.control.quota;

/**
 * The load of one endpoint that a proxy reports for the time since its last report ({@code UpstreamLocalityStats} of
 * load_stats.v3).
 *
 * @param successes requests that were answered
 * @param errors requests that failed
 * @param latencySumMs the sum of the latencies that were measured, in milliseconds
 * @param measured how many latencies were measured
 */
record LoadReport(long successes, long errors, double latencySumMs, long measured) {}
