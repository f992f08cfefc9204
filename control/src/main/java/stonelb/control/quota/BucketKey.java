package stonelb.control.quota;

import java.util.Map;
import java.util.Set;

/**
 * Identifies a bucket of one proxy: the requests of one customer that have the same cost. On the wire it is the bucket
 * id of {@code envoy.service.rate_limit_quota.v3}, a map of names to values.
 *
 * @param customer the customer, a number below 2^33
 * @param plan the index of the customer's plan in the settings
 * @param spread the number of proxies and gateways that the customer uses, from 1
 * @param cost units of the quota that each request takes, above 0
 * @param id the bucket id as the proxy states it; assignments repeat it unchanged
 */
public record BucketKey(long customer, int plan, int spread, double cost, Map<String, String> id) {
    /** The bucket id's entry for the customer. */
    public static final String CUSTOMER = "clinic";

    /** The bucket id's entry for the plan. */
    public static final String PLAN = "plan";

    /** The bucket id's entry for the spread. */
    public static final String SPREAD = "spread";

    /** The bucket id's entry for the cost. */
    public static final String COST = "cost";

    private static final Set<String> KNOWN_NAMES = Set.of(CUSTOMER, PLAN, SPREAD, COST);
    private static final int HEX_RADIX = 16;
    private static final int CUSTOMER_BITS = 33;

    /**
     * Parses a bucket id.
     *
     * @throws InvalidBucketException for an unknown entry, an unknown plan or a number out of range
     */
    public static BucketKey parse(Map<String, String> id, BucketLimits limits) throws InvalidBucketException {
        for (String name : id.keySet()) {
            if (!KNOWN_NAMES.contains(name)) {
                throw new InvalidBucketException("the bucket id has an unknown name '" + name + "'");
            }
        }
        long customer = customer(id.getOrDefault(CUSTOMER, ""));
        int plan = limits.plans().indexOf(id.getOrDefault(PLAN, ""));
        if (plan < 0) {
            throw new InvalidBucketException("'" + PLAN + "' names no plan of the settings");
        }
        double spread = parseNumber(id, SPREAD, limits.gateways());
        double cost = parseNumber(id, COST, 1);
        if (spread != Math.rint(spread) || spread < 1 || spread > limits.gateways()) {
            throw new InvalidBucketException("'" + SPREAD + "' is not a whole number from 1 to " + limits.gateways());
        }
        double maxCost = Math.max(1, limits.largestUnits());
        if (!(cost > 0) || cost > maxCost) {
            throw new InvalidBucketException("'" + COST + "' is not above 0 and up to " + maxCost);
        }
        return new BucketKey(customer, plan, (int) spread, cost, Map.copyOf(id));
    }

    private static long customer(String text) throws InvalidBucketException {
        if (text.matches("[0-9a-fA-F]{1,16}")) {
            long customer = Long.parseUnsignedLong(text, HEX_RADIX);
            if (customer >>> CUSTOMER_BITS == 0) {
                return customer;
            }
        }
        throw new InvalidBucketException("'" + CUSTOMER + "' is not a hexadecimal number below 2^33");
    }

    private static double parseNumber(Map<String, String> id, String name, double defaultValue)
            throws InvalidBucketException {
        String text = id.get(name);
        if (text == null) {
            return defaultValue;
        }
        if (!text.matches("\\d{1,9}(\\.\\d{1,9})?")) {
            throw new InvalidBucketException("'" + name + "' is not a number");
        }
        return Double.parseDouble(text);
    }
}
