package stonelb.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import stonelb.config.InvalidConfigurationException;
import stonelb.proxy.StubProxy;

/**
 * Three deployments that receive the same traffic, each with its own plan servers and quota counter: one served by
 * gateways, an identical second one, whose difference from the first shows the random variation, and one served by
 * proxies that a control service configures.
 */
final class ComparedDeployments implements AutoCloseable {
    /** The number of gateways or proxies in each deployment. */
    static final int ENTRY_POINTS = 4;

    private static final int PLAN_SERVERS = 12;
    private static final double WORK_MS = 20;

    private final LocalDeployment gateways = newDeployment();
    private final LocalDeployment secondGateways = newDeployment();
    private final LocalDeployment proxies = newDeployment();
    private final List<Integer> gatewayPorts = new ArrayList<>();
    private final List<Integer> secondGatewayPorts = new ArrayList<>();
    private final List<StubProxy> startedProxies = new ArrayList<>();

    /** Starts only the stub platforms. */
    ComparedDeployments() throws IOException {}

    private static LocalDeployment newDeployment() throws IOException {
        return new LocalDeployment(PLAN_SERVERS, ENTRY_POINTS, QuotaPlan.MEASURED_SETTINGS, WORK_MS);
    }

    /** Starts the control service, the gateways and the proxies. */
    void start() throws IOException, InterruptedException, InvalidConfigurationException {
        proxies.startControlService();
        for (int index = 0; index < ENTRY_POINTS; index++) {
            gatewayPorts.add(gateways.startGateway("g" + index));
            secondGatewayPorts.add(secondGateways.startGateway("h" + index));
            startedProxies.add(proxies.startProxy("p" + index));
        }
    }

    LocalDeployment gateways() {
        return gateways;
    }

    LocalDeployment secondGateways() {
        return secondGateways;
    }

    LocalDeployment proxies() {
        return proxies;
    }

    int gatewayPort(int entryPoint) {
        return gatewayPorts.get(entryPoint);
    }

    int secondGatewayPort(int entryPoint) {
        return secondGatewayPorts.get(entryPoint);
    }

    StubProxy proxy(int entryPoint) {
        return startedProxies.get(entryPoint);
    }

    @Override
    public void close() throws IOException {
        try (gateways;
                secondGateways) {
            proxies.close();
        }
    }
}
