package stonelb.decision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/** One customer's calls to the shared counter under the name of the present window, and what they have shown. */
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
    private final double keepMs;
    private final Deque<CallType> unanswered = new ArrayDeque<>();
    private long windowIndex = NO_WINDOW;

    /** The counter name of the present window; of no meaning where there is none. */
    private long name;

    private boolean querying;
    private double queriedAmount;
    private double lastTotal;
    private double unconfirmed;
    private double expiring;

    /** @param keepMs how long the counter keeps a name */
    CounterAccount(LeaseContext context, long customer, double keepMs) {
        actions = context.actions();
        customersByName = context.customersByName();
        this.customer = customer;
        window = new CounterWindow(customer);
        this.keepMs = keepMs;
    }

    /** Time since the present window of this length began. */
    double windowAgeMs(double now, double windowMs) {
        return window.ageMs(now, windowMs);
    }

    /** Moves on to the name of the present window; tells whether it is a new one. */
    boolean moveToWindow(double now, double windowMs) {
        long index = window.index(now, windowMs);
        if (index == windowIndex) {
            return false;
        }
        releaseName();
        windowIndex = index;
        name = window.counterName(index);
        customersByName.put(name, customer);
        unanswered.clear();
        lastTotal = 0;
        unconfirmed = 0;
        expiring = 0;
        return true;
    }

    boolean isCurrent(long counterName) {
        return hasWindow() && counterName == name;
    }

    /** Adds an amount, and waits for the total. */
    void query(double amount) {
        querying = true;
        queriedAmount = amount;
        add(CallType.QUERY, amount);
    }

    /** Takes units off the quota for good. */
    void expire(double units) {
        expiring = units;
        adjust(units);
    }

    /** Moves the total without asking anything of it. */
    void adjust(double amount) {
        lastTotal += amount;
        add(CallType.ADJUSTMENT, amount);
    }

    private void add(CallType type, double amount) {
        unanswered.add(type);
        actions.addToCounter(name, amount, keepMs);
    }

    /** Takes the oldest call off the list; tells whether it was a query. */
    boolean answered() {
        boolean query = unanswered.poll() == CallType.QUERY;
        querying &= !query;
        return query;
    }

    boolean isQuerying() {
        return querying;
    }

    /** The amount that the last query has added. */
    double queriedAmount() {
        return queriedAmount;
    }

    /** What others have added since the last total, by the total that answers a query. */
    double addedByOthers(double total) {
        return total - lastTotal - queriedAmount;
    }

    /** Takes in the total that answers a query, which shows what was added before. */
    void totalReceived(double total) {
        lastTotal = total;
        unconfirmed = 0;
    }

    /** Units that may already be on the counter, since the queries that added them had no answer. */
    double unconfirmed() {
        return unconfirmed;
    }

    void addUnconfirmed(double amount) {
        unconfirmed += amount;
    }

    /** Units that this gateway took off the quota by an adjustment that is not answered yet. */
    double expiring() {
        return expiring;
    }

    void expiryAnswered() {
        expiring = 0;
    }

    /** Takes no more answers. */
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
