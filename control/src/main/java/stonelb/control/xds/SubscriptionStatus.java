package stonelb.control.xds;

/**
 * The status of one resource type on one stream, for operators.
 *
 * @param sent the version sent last
 * @param acknowledged the version acknowledged last
 * @param rejected the reason of the last NACK, or null once a later version is acknowledged
 * @param nacks the number of rejected responses
 * @param bytes the total number of bytes sent
 * @param subscribed the number of names, or -1 for a wildcard
 */
public record SubscriptionStatus(
        String sent, String acknowledged, String rejected, long nacks, long bytes, int subscribed) {}
