package stonelb.follower;

import java.util.Map;

/**
 * A snapshot of a {@link ControlClient}'s progress, for diagnostics.
 *
 * @param versions version of the accepted resources by the simple name of their type; empty string before the first
 * @param buckets number of quota buckets
 * @param reports usage reports sent so far
 * @param assignments quota assignments and other bucket actions received so far
 * @param connected whether the current ADS stream has responded
 */
public record ClientState(
        Map<String, String> versions, int buckets, long reports, long assignments, boolean connected) {}
