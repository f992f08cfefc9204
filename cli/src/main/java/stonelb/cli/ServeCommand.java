package stonelb.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParentCommand;

/** Runs one gateway in this process until a signal stops it. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Run one gateway; PROXY_CONFIG names its configuration, STONELB_OPENAPI the second front's file.")
final class ServeCommand implements Callable<Integer> {
    @ParentCommand
    private Main main;

    @Override
    public Integer call() {
        main.keepRunning();
        stonelb.gateway.Main.main(new String[] {"serve"});
        return 0;
    }
}
