package stonelb.control.resources;

/**
 * The operator's settings for the xDS resources.
 *
 * @param reportMs how often proxies report the use of a bucket, in milliseconds
 * @param fallbackMs how long proxies use the fallback rate after an assignment has expired, in milliseconds
 * @param grpcListener the listener name that proxyless gRPC clients request, or null for no such listener
 */
public record ResourceOptions(double reportMs, double fallbackMs, String grpcListener) {}
