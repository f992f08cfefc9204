package stonelb.gateway;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.decision.simulator.SimulatorMain;
import stonelb.gateway.openapi.OpenApiSettings;
import stonelb.io.RateLimitedLog;

/** The program: {@code serve} runs a gateway, {@code simulator} the decision engine alone for the simulator. */
public final class Main {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final String DEFAULT_OPENAPI_SETTINGS = "deploy/openapi.json";

    private Main() {}

    /** Runs the subcommand that the arguments name; exits with status 2 if they name none. */
    public static void main(String[] args) {
        if (Arrays.equals(args, new String[] {"simulator"})) {
            SimulatorMain.main(args);
        } else if (Arrays.equals(args, new String[] {"serve"})) {
            serve();
        } else {
            System.err.println("usage: java -jar stonelb.jar serve | simulator");
            System.exit(EXIT_USAGE);
        }
    }

    private static void serve() {
        ConfigurationReloader reloader = new ConfigurationReloader(new RateLimitedLog(), System.getenv());
        try {
            Configuration config = Configuration.read(System.getenv());
            String openApiFile = System.getenv().getOrDefault("STONELB_OPENAPI", DEFAULT_OPENAPI_SETTINGS);
            GatewayServer server = new GatewayServer(config, OpenApiSettings.read(Path.of(openApiFile)));
            // The program exits when the hook returns, so it waits for the shutdown to complete. It is installed before
            // the first client connects: otherwise SIGTERM would end the program with requests in flight.
            Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownGracefully, "graceful-shutdown"));
            server.start();
            reloader.start(server::reload);
        } catch (InvalidConfigurationException e) {
            fail(e.getMessage());
        } catch (IOException e) {
            fail("can't listen: " + e.getMessage());
        }
    }

    private static void fail(String reason) {
        System.err.println("stonelb: " + reason);
        System.exit(EXIT_FAILURE);
    }
}
