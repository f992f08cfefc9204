package stonelb.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs a measurement and prints its figures with their bounds; exit code 1 if a figure exceeds its bound. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Measure a subsystem and print its figures with their bounds; exit code 1 where one falls short.")
final class MeasureCommand implements Callable<Integer> {
    private static final String CONTROL = "control";
    private static final String CONTROL_SIZE = "control-size";

    @Parameters(paramLabel = "NAME", description = "control or control-size")
    private String name;

    @Option(names = "--full", description = "the long form")
    private boolean full;

    @Option(names = "--json", description = "the figures as JSON as well, on the last line")
    private boolean json;

    @Option(names = "--plot", paramLabel = "FILE", description = "control-size: a picture (PNG) of how the cost grows")
    private Path plotFile;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        checkArguments();
        PrintWriter out = spec.commandLine().getOut();
        MeasurementReport report = new MeasurementReport(out);
        if (name.equals(CONTROL)) {
            new DriftMeasurement(report, full).run();
            new DrainMeasurement(report, full).run();
        } else {
            new ScalingMeasurement(report).run(plotFile);
        }
        if (json) {
            report.printJson();
        }
        out.flush();
        System.exit(report.allWithinBounds() ? 0 : 1); // the stub servers and gateways leave threads running
        return 0;
    }

    private void checkArguments() {
        if (!name.equals(CONTROL) && !name.equals(CONTROL_SIZE)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "there is no measurement '" + name + "'; there are: control, control-size");
        }
        if (plotFile != null
                && !(name.equals(CONTROL_SIZE) && plotFile.toString().endsWith(".png"))) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--plot takes a file that ends in .png, with control-size");
        }
    }
}
