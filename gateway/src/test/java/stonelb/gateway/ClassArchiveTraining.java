package stonelb.gateway;

import java.nio.file.Files;
import java.nio.file.Path;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;

/**
 * Build step: sends a few requests to the packaged program, which on exit writes an archive of the classes that it used
 * (class data sharing). The program also starts without the archive, but uses twice the CPU time for it.
 */
public final class ClassArchiveTraining {
    private static final int REQUESTS = 200;

    /** Runs the training; {@code args} are the JVM's arguments, up to and including the program's jar. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("rehearsal");
        try (StubPlatform platform = new StubPlatform();
                GatewayProcess program = new GatewayProcess(
                        folder,
                        platform.config(
                                "127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN + "," + GatewayProcess.FIVE_UNIT_PLAN),
                        null,
                        args);
                Client client = new Client(program.port("RESP2 requests"))) {
            client.call("PING");
            for (int i = 0; i < REQUESTS; i++) {
                boolean nonIdempotent = i % 3 == 0;
                client.call(
                        nonIdempotent ? "Q.DO" : "Q.ASK",
                        "00000000b4d65521",
                        Integer.toHexString(i),
                        "c=" + (nonIdempotent ? "log" : "read") + ",t=" + (i % 2 == 0 ? "open" : "five")
                                + ",d=9000,units=1,spread=1,first=0",
                        i % 20 == 7 ? "fail" : "x");
            }
            program.sendSigterm();
            program.awaitExit(20_000);
        } finally {
            Files.deleteIfExists(folder.resolve("config.json"));
            Files.deleteIfExists(folder);
        }
    }

    private ClassArchiveTraining() {}
}
