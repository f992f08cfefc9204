package stonelb.control.xds;

/**
 * Limits of the ADS streams.
 *
 * @param maxStreams the most open streams of all proxies together
 * @param maxNames the most names of one resource type on one stream
 * @param stallTimeoutMs how long a response may go without ACK or NACK
 */
public record StreamLimits(int maxStreams, int maxNames, double stallTimeoutMs) {}
