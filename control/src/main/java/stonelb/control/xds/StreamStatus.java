package stonelb.control.xds;

import java.util.Map;

/**
 * The status of one stream, for operators.
 *
 * @param incremental whether it uses the incremental variant of the protocol
 * @param peer the address of the proxy
 * @param subscriptions by resource type, in lower case
 */
public record StreamStatus(boolean incremental, String peer, Map<String, SubscriptionStatus> subscriptions) {}
