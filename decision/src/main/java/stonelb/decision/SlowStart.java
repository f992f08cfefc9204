package stonelb.decision;

/**
 * The slow start of endpoints.
 *
 * @param initialCapacity the share of its capacity that an endpoint has at its start
 * @param rampMs the time until it has its full capacity
 * @param overloadMs the time window over which excess load makes a warming endpoint fail
 */
public record SlowStart(double initialCapacity, double rampMs, double overloadMs) {}
