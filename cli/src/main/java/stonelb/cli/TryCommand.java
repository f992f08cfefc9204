package stonelb.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import stonelb.proxy.StubProxy;
import stonelb.standins.StubFleet;

/** Runs a stub platform, a gateway, the control service and a proxy in one process, with generated traffic. */
@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description =
                "Start a toy platform, a gateway, the control service and a stand-in proxy in one process, send them"
                        + " traffic, and show what is served and throttled until Ctrl-C.")
final class TryCommand implements Callable<Integer> {
    private static final int PLAN_SERVERS = 4;
    private static final int ENTRY_POINTS = 2;
    private static final int GATEWAY_ENTRY_POINT = 0;
    private static final double WORK_MS = 20;
    private static final int CUSTOMERS = 20;
    private static final double SECOND_MS = 1000;

    /** The plans of {@link StubFleet#PLANS}. */
    private static final List<QuotaPlan> PLANS =
            List.of(new QuotaPlan("consulta", 2, 8), new QuotaPlan("centro", 4, 16), new QuotaPlan("red", 10, 20));

    /** The sum of the quota rates of all customers: 12 have the first plan, 6 the second, 2 the third. */
    private static final double ALLOWED_UNITS_PER_SECOND = 12 * 2 + 6 * 4 + 2 * 10;

    /** The load alternates between half of the quotas and twice the quotas. */
    private static final int LOAD_PERIOD_SECONDS = 20;

    private static final int HIGH_LOAD_FROM_SECOND = 10;
    private static final TrafficShape LOW_LOAD = TrafficShape.steady("try", 0.5);
    private static final TrafficShape HIGH_LOAD = TrafficShape.steady("try", 2);

    @Option(
            names = "--seconds",
            paramLabel = "N",
            description = "end by itself after so long; 0, the default, at Ctrl-C")
    private int seconds;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        try (LocalDeployment deployment = new LocalDeployment(PLAN_SERVERS, ENTRY_POINTS, StubFleet.PLANS, WORK_MS)) {
            int gatewayPort = deployment.startGateway("gateway");
            deployment.startControlService();
            StubProxy proxy = deployment.startProxy("proxy");
            int controlPort = deployment.controlService().port();
            printHeader(gatewayPort, proxy.port(), controlPort);
            sendTraffic(deployment, gatewayPort, proxy.port());
        }
        System.exit(0); // the stub servers and the gateway leave threads running
        return 0;
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private void printHeader(int gatewayPort, int proxyPort, int controlPort) {
        PrintWriter out = out();
        out.printf(
                "gateway   http://127.0.0.1:%d/v1/plans/7   (X-Customer, X-Plan: consulta, centro or red)%n",
                gatewayPort);
        out.printf("proxy     http://127.0.0.1:%d/v1/plans/7   led by the control service%n", proxyPort);
        out.printf("control   ./stonelb control status 127.0.0.1:%d%n%n", controlPort);
        out.printf("%6s | %-25s | %-25s | %s%n", "", "gateway", "proxy", "both, of 20 clinics' quotas");
        out.printf(
                "%6s | %8s %10s %5s | %8s %10s %5s | %s%n",
                "s", "served", "throttled", "else", "served", "throttled", "else", "units/s used of units/s allowed");
        out.flush();
    }

    private void sendTraffic(LocalDeployment deployment, int gatewayPort, int proxyPort) {
        TrafficGenerator generator = new TrafficGenerator(PLANS, CUSTOMERS, ENTRY_POINTS, SECOND_MS);
        ResponseCounts gatewayCounts = new ResponseCounts();
        ResponseCounts proxyCounts = new ResponseCounts();
        for (int second = 1; seconds == 0 || second <= seconds; second++) {
            double startMs = MonotonicClock.nowMs();
            TrafficShape load = second % LOAD_PERIOD_SECONDS < HIGH_LOAD_FROM_SECOND ? LOW_LOAD : HIGH_LOAD;
            for (GeneratedRequest generated : generator.generate(load, seed(second))) {
                MonotonicClock.sleepUntil(startMs + generated.atMs());
                GeneratedRequest request = generated.withId(second + "-" + generated.id());
                boolean throughGateway = request.entryPoint() == GATEWAY_ENTRY_POINT;
                int port = throughGateway ? gatewayPort : proxyPort;
                ResponseCounts counts = throughGateway ? gatewayCounts : proxyCounts;
                deployment.send(port, request, ENTRY_POINTS, counts::add);
            }
            MonotonicClock.sleepUntil(startMs + SECOND_MS);
            printSecond(second, gatewayCounts.takeAndReset(), proxyCounts.takeAndReset());
        }
    }

    /** Returns a seed for each second; its lower bits, which determine the customer IDs, stay the same. */
    private static long seed(int second) {
        return ((long) second << 16) | 5;
    }

    private void printSecond(int second, ResponseCounts.Snapshot gateway, ResponseCounts.Snapshot proxy) {
        out().printf(
                        "%6d | %8d %10d %5d | %8d %10d %5d | %d of %.0f%s%n",
                        second,
                        gateway.served(),
                        gateway.throttled(),
                        gateway.other(),
                        proxy.served(),
                        proxy.throttled(),
                        proxy.other(),
                        gateway.served() + proxy.served(),
                        ALLOWED_UNITS_PER_SECOND,
                        loadChange(second));
        out().flush();
    }

    /** Returns the note to print if the load changes with the next second. */
    private static String loadChange(int second) {
        return switch (second % LOAD_PERIOD_SECONDS) {
            case HIGH_LOAD_FROM_SECOND -> "   (from here on they ask for twice their quotas)";
            case 0 -> "   (half of their quotas again)";
            default -> "";
        };
    }
}
