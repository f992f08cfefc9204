package stonelb.core;

/** The quota counter that all gateways share. */
public interface QuotaCounter {

    /**
     * Adds an amount to a counter. The result is reported to {@link RequestTable#counterAnswered}, never from within
     * this call, and results for one name are reported in the order of the calls.
     *
     * @param expiryMs how long the counter is kept after this call, in milliseconds
     */
    void add(long name, double amount, double expiryMs);
}
