package stonelb.cli;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import stonelb.control.ControlService;

/**
 * Samples the live leases of a deployment's control service. The leases of a customer may
 * total its burst plus one request for each proxy; the monitor records the largest excess.
 */
final class LeaseMonitor {
    private static final int SAMPLE_INTERVAL_MS = 100;

    private final LocalDeployment deployment;
    private final Map<Long, QuotaPlan> plansByCustomer;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Thread sampler = new Thread(this::sample, "leases");
    private double worstExcess; // written by the sampler thread, read after it has ended

    /**
     * Prepares a monitor.
     *
     * @param plansByCustomer the plan of each customer by its numeric ID
     */
    LeaseMonitor(LocalDeployment deployment, Map<Long, QuotaPlan> plansByCustomer) {
        this.deployment = deployment;
        this.plansByCustomer = plansByCustomer;
    }

    void start() {
        sampler.start();
    }

    /**
     * Stops sampling.
     *
     * @return the units by which the worst customer's leases exceeded its bound; 0 if none did
     */
    double stop() throws InterruptedException {
        stopped.countDown();
        sampler.join();
        return worstExcess;
    }

    private void sample() {
        try {
            while (!stopped.await(SAMPLE_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                worstExcess = Math.max(worstExcess, currentExcess());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double currentExcess() {
        ControlService controlService = deployment.controlService();
        double worst = 0;
        for (Map.Entry<Long, Double> customer : controlService.leasedUnits().entrySet()) {
            QuotaPlan plan = plansByCustomer.get(customer.getKey());
            if (plan != null) {
                worst = Math.max(worst, customer.getValue() - plan.burst() - ComparedDeployments.ENTRY_POINTS);
            }
        }
        return worst;
    }
}
