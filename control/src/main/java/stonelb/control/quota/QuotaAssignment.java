package stonelb.control.quota;

/**
 * The quota that a proxy is assigned for a bucket.
 *
 * @param key the bucket
 * @param credit requests that it may allow, possibly all at once; 0 denies all
 * @param timeToLiveMs how long this is valid, in milliseconds; afterwards the fallback of the bucket's settings applies
 * @param abandoned whether the bucket is dropped, so that the proxy discards it and stops reporting on it
 */
public record QuotaAssignment(BucketKey key, long credit, double timeToLiveMs, boolean abandoned) {}
