package stonelb.cli;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import stonelb.config.InvalidConfigurationException;

/**
 * The command line. Exit codes: 0 the command succeeded, 1 it failed or a measured figure exceeded its bound, 2 the
 * arguments are wrong.
 */
@Command(
        name = "stonelb",
        mixinStandardHelpOptions = true,
        version = "stonelb 0.2.0",
        description = "Holds customers to their quotas: a gateway, and a control service for other proxies.",
        subcommands = {
            ServeCommand.class,
            ControlCommand.class,
            CheckCommand.class,
            MeasureCommand.class,
            TryCommand.class
        })
public final class Main implements Runnable {
    private static final int EXIT_FAILED = 1;

    @Spec
    private CommandSpec spec;

    private boolean runsInBackground;

    /**
     * Runs one command and ends the process, unless the command left a server running.
     *
     * @param args the command's name and its arguments
     */
    public static void main(String[] args) {
        Main main = new Main();
        int exitCode = main.commandLine().execute(args);
        if (exitCode != 0 || !main.runsInBackground) {
            System.exit(exitCode);
        }
    }

    /** Returns the command line with all commands. Expected failures are printed as a single line. */
    CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(this);
        commandLine.setExecutionExceptionHandler((exception, command, parsed) -> {
            if (exception instanceof InvalidConfigurationException || exception instanceof IOException) {
                command.getErr().println("stonelb: " + exception.getMessage());
                return EXIT_FAILED;
            }
            throw exception;
        });
        return commandLine;
    }

    /** Reports that a command is missing. */
    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Keeps the process alive after its command has returned, for a server that runs on its own threads. */
    void keepRunning() {
        runsInBackground = true;
    }
}
