package stonelb.control.quota;

import java.util.List;

/**
 * The limits that bucket ids are validated against.
 *
 * @param plans names of plans, in the order of the settings
 * @param gateways the number of proxies and gateways
 * @param largestUnits the most units that one request may cost
 */
public record BucketLimits(List<String> plans, int gateways, double largestUnits) {}
