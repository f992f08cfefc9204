package stonelb.control.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Customers of whom a request was rejected recently, through any proxy. Their requests are submitted to the decision
 * engine one by one as they arrive, as at a gateway, and not ahead of time: right after adding to the counter the
 * engine knows the total and is stricter, so that it would reject requests ahead of time that it forwards on arrival.
 */
public final class ThrottledCustomers {
    private static final double THROTTLED_MS = 5000;

    private final Map<Long, Double> throttledUntil = new HashMap<>();
    private double lastCleanupAt;

    void rejected(long customer, double now) {
        throttledUntil.put(customer, now + THROTTLED_MS);
        if (now - lastCleanupAt > THROTTLED_MS) {
            lastCleanupAt = now;
            throttledUntil.values().removeIf(until -> until < now);
        }
    }

    boolean isThrottled(long customer, double now) {
        Double until = throttledUntil.get(customer);
        return until != null && now < until;
    }
}
