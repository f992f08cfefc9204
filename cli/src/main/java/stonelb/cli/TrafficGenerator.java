package stonelb.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Generates pseudorandom requests of customers; equal seeds give equal requests. */
final class TrafficGenerator {
    private static final double MS_PER_SECOND = 1000;
    private static final int SESSION_LOG_PERCENT = 35;

    private final List<QuotaPlan> plans;
    private final int customers;
    private final int entryPoints;
    private final double lengthMs;

    /**
     * Sets up a generator.
     *
     * @param plans three plans, of which customers have the first, second and third in the ratio 6 to 3 to 1
     * @param customers the number of customers
     * @param entryPoints the number of gateways or proxies
     * @param lengthMs how long the traffic lasts, in milliseconds
     */
    TrafficGenerator(List<QuotaPlan> plans, int customers, int entryPoints, double lengthMs) {
        this.plans = plans;
        this.customers = customers;
        this.entryPoints = entryPoints;
        this.lengthMs = lengthMs;
    }

    /** Returns the requests of all customers, ordered by time. */
    List<GeneratedRequest> generate(TrafficShape shape, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<GeneratedRequest> requests = new ArrayList<>();
        for (int index = 0; index < customers; index++) {
            String id = Long.toHexString(((seed & 0xffff) << 16) | (index + 1));
            addRequests(requests, new Customer(id, planOf(index)), shape, random);
        }
        requests.sort(Comparator.comparingDouble(GeneratedRequest::atMs));
        return requests;
    }

    private QuotaPlan planOf(int customerIndex) {
        int tenth = customerIndex % 10;
        if (tenth < 6) {
            return plans.get(0);
        }
        return plans.get(tenth < 9 ? 1 : 2);
    }

    /**
     * Adds the requests of one customer: a Poisson process, two thirds of it through a preferred entry point that changes
     * every few seconds, the rest through a random one.
     */
    private void addRequests(
            List<GeneratedRequest> requests, Customer customer, TrafficShape shape, SplittableRandom random) {
        double load = (0.7 + 0.6 * random.nextDouble()) * shape.load();
        int firstEntryPoint = random.nextInt(entryPoints);
        double entryPointChangeMs = 2000 + random.nextDouble() * 2000;
        double atMs = 0;
        while (true) {
            double burst = isInBurst(customer, shape, atMs) ? shape.burstFactor() : 1;
            double ratePerSecond = customer.plan().unitsPerSecond() * load * burst;
            atMs += -Math.log(1 - random.nextDouble()) * MS_PER_SECOND / ratePerSecond;
            if (atMs >= lengthMs) {
                return;
            }
            int entryPoint = random.nextInt(3) > 0
                    ? (firstEntryPoint + (int) (atMs / entryPointChangeMs)) % entryPoints
                    : random.nextInt(entryPoints);
            boolean recordsSession = random.nextInt(100) < SESSION_LOG_PERCENT;
            requests.add(new GeneratedRequest(
                    atMs, customer, entryPoint, recordsSession, customer.id() + "-" + requests.size()));
        }
    }

    private boolean isInBurst(Customer customer, TrafficShape shape, double atMs) {
        return customer.plan().equals(shape.burstPlan()) && atMs > lengthMs / 3 && atMs < 2 * lengthMs / 3;
    }
}
