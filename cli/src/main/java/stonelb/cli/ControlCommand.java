package stonelb.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.control.ControlService;
import stonelb.control.ControlSettings;

/** Runs the control service in this process until a signal stops it. */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        subcommands = StatusCommand.class,
        description = "Run the control service, which hands decisions to other proxies over xDS.")
final class ControlCommand implements Callable<Integer> {
    @Option(
            names = "--settings",
            paramLabel = "FILE",
            defaultValue = "deploy/control.json",
            description = "its settings (default: ${DEFAULT-VALUE})")
    private Path settingsFile;

    @Override
    public Integer call() throws Exception {
        ControlSettings settings = ControlSettings.read(settingsFile);
        if (settings == null) {
            throw new InvalidConfigurationException(settingsFile + " says that the control service is off ('enabled')");
        }
        Configuration configuration =
                Configuration.read(Map.of("PROXY_CONFIG", settings.gateway().toString()));
        ControlService service = new ControlService(configuration, settings);
        try {
            service.start();
        } catch (InvalidConfigurationException | IOException e) {
            service.close();
            throw e;
        }
        awaitShutdown(service);
        return 0;
    }

    private static void awaitShutdown(ControlService service) throws InterruptedException {
        CountDownLatch closed = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    service.close();
                    closed.countDown();
                },
                "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        closed.await();
    }
}
