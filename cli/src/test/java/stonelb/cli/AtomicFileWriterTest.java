package stonelb.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Tests that a failed write leaves the old file unchanged and that the command reports the failure. */
class AtomicFileWriterTest {
    private static final String OLD_CONTENT = "old content";

    @TempDir
    Path folder;

    private List<Path> filesInFolder() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.toList();
        }
    }

    @Test
    void replacesFileAndLeavesNoTemporaryFile() throws IOException {
        Path file = folder.resolve("file");
        Files.writeString(file, OLD_CONTENT);
        AtomicFileWriter.write(file, "new content");
        assertEquals("new content", Files.readString(file));
        assertEquals(List.of(file), filesInFolder());
    }

    @Test
    void failedWriteKeepsOldFile() throws IOException {
        Path file = folder.resolve("file");
        Files.writeString(file, OLD_CONTENT);
        IOException failure = assertThrows(
                IOException.class,
                () -> AtomicFileWriter.write(file, out -> {
                    out.write("half".getBytes(StandardCharsets.UTF_8));
                    throw new IOException("No space left on device");
                }));
        assertEquals("can't write " + file + ": No space left on device", failure.getMessage());
        assertEquals(OLD_CONTENT, Files.readString(file));
        assertEquals(List.of(file), filesInFolder());
    }

    @Test
    void missingFolderIsReportedInOneLine() {
        Path file = folder.resolve("missing").resolve("file");
        IOException failure = assertThrows(IOException.class, () -> AtomicFileWriter.write(file, "text"));
        assertEquals("can't write " + file + ": its folder does not exist", failure.getMessage());
    }

    /** A file size limit makes the write fail in the middle of the chart, as a full disk would. */
    @Test
    @Timeout(120)
    void commandThatCannotWriteChartFailsAndKeepsOldFile() throws Exception {
        Path chart = folder.resolve("chart.png");
        Files.writeString(chart, OLD_CONTENT);
        Process command = new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -f 4 && exec \"$@\"",
                        "sh",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:-UsePerfData",
                        "-cp",
                        System.getProperty("java.class.path"),
                        ChartProgram.class.getName(),
                        chart.toString())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        String errors = new String(command.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(command.waitFor(60, TimeUnit.SECONDS), "the command has not ended");
        // The system's font library may first report a failed write of its cache, since the limit applies to that as
        // well.
        List<String> errorLines =
                errors.lines().filter(line -> !line.startsWith("write cache: ")).toList();
        assertEquals(List.of("stonelb: can't write " + chart + ": File too large"), errorLines);
        assertEquals(1, command.exitValue());
        assertArrayEquals(OLD_CONTENT.getBytes(StandardCharsets.UTF_8), Files.readAllBytes(chart));
        assertEquals(List.of(chart), filesInFolder());
    }

    /** Runs the command line with an additional command, which draws a chart of fixed figures. */
    static final class ChartProgram {
        public static void main(String[] args) {
            System.exit(
                    new Main().commandLine().addSubcommand(new ChartCommand()).execute("chart", args[0]));
        }
    }

    /** Draws a chart without running a measurement. */
    @Command(name = "chart")
    static final class ChartCommand implements Callable<Integer> {
        @Parameters
        private Path file;

        @Override
        public Integer call() throws IOException {
            ScalingChart.write(
                    List.of(new ScalingChart.Point(10, 1, 2, 3, 4), new ScalingChart.Point(100, 5, 6, 7, 8)), file);
            return 0;
        }
    }
}
