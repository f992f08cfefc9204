package stonelb.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The customers that this gateway knows. Their number is bounded, since anyone can send requests under new names. At the
 * bound the least recently used customer leaves of which nothing is in flight, unless it has used a part of its ceiling:
 * that would be granted again. The quota that it has used is known to the counter.
 */
final class CustomerTable {
    /** At about 0.7 KB each, they take a quarter of a heap of 48 MB. */
    static final int MAX_CUSTOMERS = 16_384;

    /** Customers that are looked at to make room for a new one. */
    private static final int MAX_CANDIDATES = 16;

    private final LeaseContext leases;

    /** In the order in which they came or, at the bound, were last used. */
    private final Map<Long, Customer> customers = new LinkedHashMap<>();

    CustomerTable(LeaseContext leases) {
        this.leases = leases;
    }

    /** The customer that uses a counter name, null if there is none. */
    Customer findByCounterName(long name) {
        return customers.get(leases.customersByName().get(name));
    }

    /** The customer of a request, which may be new; null if there is no room for a new one. */
    Customer findOrAdd(double now, AdmissionRequest arrival) {
        Long id = arrival.customer();
        Customer known = customers.get(id);
        boolean full = customers.size() >= MAX_CUSTOMERS;
        if (known != null && full) {
            moveToEnd(id, known);
        }
        if (known != null || (full && !makeRoom(now))) {
            return known;
        }
        Customer added = new Customer(leases.open(now, arrival));
        customers.put(id, added);
        return added;
    }

    private void moveToEnd(Long id, Customer customer) {
        customers.remove(id);
        customers.put(id, customer);
    }

    private boolean makeRoom(double now) {
        for (int i = 0; i < MAX_CANDIDATES; i++) {
            Map.Entry<Long, Customer> oldest = customers.entrySet().iterator().next();
            Long id = oldest.getKey();
            Customer customer = oldest.getValue();
            if (mayLeave(now, customer)) {
                customer.lease().account().close();
                customers.remove(id);
                return true;
            }
            moveToEnd(id, customer);
        }
        return false;
    }

    /** Whether nothing is in flight or held, and a new lease would not grant a used ceiling again. */
    private static boolean mayLeave(double now, Customer customer) {
        QuotaLease lease = customer.lease();
        boolean inUse = customer.hasWaiting()
                || lease.inFlightCap().peak().inFlight() > 0
                || lease.account().isQuerying();
        LeaseBalance balance = lease.balance();
        boolean neverUsed = balance.unitsPerMs() == 0;
        return !inUse && (neverUsed || now - balance.refreshedAtMs() >= ceilingRefillMs(lease.terms()));
    }

    /** The time without requests after which a ceiling is full again, 0 if there is none. */
    private static double ceilingRefillMs(QuotaTerms terms) {
        Plan plan = terms.plan();
        double rate = plan.ceilingRate() - (terms.leasesUnderCeiling() ? plan.rate() : 0);
        return rate > 0 ? QuotaTerms.MS_PER_SECOND * plan.ceilingBurst() / rate : 0;
    }

    /** Closes the leases that are unused. */
    void closeIdle(double now) {
        customers.values().removeIf(customer -> customer.lease().closeIfIdle(now, customer.hasWaiting()));
    }

    int size() {
        return customers.size();
    }
}
