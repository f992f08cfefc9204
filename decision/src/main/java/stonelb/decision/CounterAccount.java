package stonelb.decision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/** One customer's calls to the shared counter under the name of the current window, and the results of these calls. */
final class CounterAccount {
    private static final long NO_WINDOW = Long.MIN_VALUE;

    private enum CallType {
        QUERY,
        ADJUSTMENT
    }

    private final DecisionActions actions;
    private final Map<Long, Long> customersByName;
    private final long customer;
    private final CounterWindow window;
    private final double ttlMs;
    private final Deque<CallType> pendingCalls = new ArrayDeque<>();
    private long windowIndex = NO_WINDOW;

    /** The counter name of the current window; undefined if there is no window yet. */
    private long name;

    private boolean querying;
    private double queriedAmount;
    private double lastTotal;
    private double unconfirmed;
    private double expiring;

    /** @param ttlMs how long the counter keeps a name after a call */
    CounterAccount(LeaseContext context, long customer, double ttlMs) {
        actions = context.actions();
        customersByName = context.customersByName();
        this.customer = customer;
        window = new CounterWindow(customer);
        this.ttlMs = ttlMs;
    }

    /** The time since the current window of this length began. */
    double windowAgeMs(double now, double windowMs) {
        return window.ageMs(now, windowMs);
    }

    /** Switches to the name of the current window; returns whether it is a new one. */
    boolean moveToWindow(double now, double windowMs) {
        long index = window.index(now, windowMs);
        if (index == windowIndex) {
            return false;
        }
        releaseName();
        windowIndex = index;
        name = window.counterName(index);
        customersByName.put(name, customer);
        pendingCalls.clear();
        lastTotal = 0;
        unconfirmed = 0;
        expiring = 0;
        return true;
    }

    boolean isCurrent(long counterName) {
        return hasWindow() && counterName == name;
    }

    /** Adds an amount to the counter and expects the new total in the answer. */
    void query(double amount) {
        querying = true;
        queriedAmount = amount;
        add(CallType.QUERY, amount);
    }

    /** Removes unused units from the quota by adding them to the counter. */
    void expire(double units) {
        expiring = units;
        adjust(units);
    }

    /** Adds an amount to the counter; the total in the answer is not needed. */
    void adjust(double amount) {
        lastTotal += amount;
        add(CallType.ADJUSTMENT, amount);
    }

    private void add(CallType type, double amount) {
        pendingCalls.add(type);
        actions.addToCounter(name, amount, ttlMs);
    }

    /** Removes the oldest pending call; returns whether it was a query. */
    boolean callAnswered() {
        boolean query = pendingCalls.poll() == CallType.QUERY;
        querying &= !query;
        return query;
    }

    boolean isQuerying() {
        return querying;
    }

    /** The amount that the last query added. */
    double queriedAmount() {
        return queriedAmount;
    }

    /** The amount that other gateways have added since the last total, given the total that answers a query. */
    double addedByOthers(double total) {
        return total - lastTotal - queriedAmount;
    }

    /** Records the total that answers a query. It settles which earlier amounts were added. */
    void totalReceived(double total) {
        lastTotal = total;
        unconfirmed = 0;
    }

    /** Units that the counter may already include, as the queries that added them were not answered. */
    double unconfirmed() {
        return unconfirmed;
    }

    void addUnconfirmed(double amount) {
        unconfirmed += amount;
    }

    /** Unused units that this gateway let expire by an adjustment that is not answered yet. */
    double expiring() {
        return expiring;
    }

    void expiryAnswered() {
        expiring = 0;
    }

    /** Ends the use of the counter name; later answers are ignored. */
    void close() {
        releaseName();
    }

    private void releaseName() {
        if (hasWindow()) {
            customersByName.remove(name);
        }
    }

    private boolean hasWindow() {
        return windowIndex != NO_WINDOW;
    }
}
