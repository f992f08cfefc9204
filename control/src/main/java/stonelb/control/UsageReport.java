package stonelb.control;

import java.util.Map;

/**
 * A proxy's report on one quota bucket, since its last report on that bucket.
 *
 * @param bucketId the bucket id as received from the proxy
 * @param allowed requests that it allowed
 * @param denied requests that it rejected
 * @param elapsedMs time since the last report, or -1 if the message has no valid one
 */
record UsageReport(Map<String, String> bucketId, long allowed, long denied, double elapsedMs) {}
