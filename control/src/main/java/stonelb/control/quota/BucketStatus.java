package stonelb.control.quota;

/**
 * The state of a bucket, for operators. Amounts are requests.
 *
 * @param key the bucket
 * @param granted the total that the decision engine has granted
 * @param used the total that the proxy has reported as used
 * @param outstandingCredit what the proxy may still use before its lease expires
 */
public record BucketStatus(BucketKey key, long granted, long used, long outstandingCredit) {}
