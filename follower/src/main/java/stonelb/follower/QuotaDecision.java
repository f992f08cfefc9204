package stonelb.follower;

/** The decision of a quota bucket on a request. */
enum QuotaDecision {
    /** Forward the request. */
    ALLOW,
    /** Reject the request. */
    DENY,
    /** Wait for the requested assignment and try again. */
    WAIT
}
