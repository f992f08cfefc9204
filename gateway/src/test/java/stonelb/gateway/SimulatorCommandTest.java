package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The program must accept the argument that the deploy file's {@code sim} command passes. */
class SimulatorCommandTest {
    private static final String EMPTY_BATCH = "0c000000" + "00000000206ec040" + "00000000"; // length, clock, records
    private static final String EMPTY_REPLY = "00000000";

    @Test
    void simCommandOfDeployFileAnswersEmptyBatch() throws Exception {
        String command = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("sim = "))
                .findFirst()
                .orElseThrow();
        String argument = command.replaceFirst("^sim = \"exec java -jar \\S+ (\\S+)\".*", "$1");
        Process program = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        argument)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try (OutputStream input = program.getOutputStream()) {
            input.write(HexFormat.of().parseHex(EMPTY_BATCH));
        }
        assertArrayEquals(
                HexFormat.of().parseHex(EMPTY_REPLY), program.getInputStream().readAllBytes());
        assertTrue(program.waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, program.exitValue());
    }
}
