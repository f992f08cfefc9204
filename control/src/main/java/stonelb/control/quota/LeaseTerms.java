package stonelb.control.quota;

/**
 * Settings of the leases, with times in milliseconds.
 *
 * @param horizonMs how far ahead of use a lease covers the demand
 * @param timeToLiveMs how long an assignment is valid
 * @param idleMs the time without a report after which a bucket without demand is dropped
 */
public record LeaseTerms(double horizonMs, double timeToLiveMs, double idleMs) {}
