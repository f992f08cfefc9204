package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.gateway.testing.UsualClients;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;
import stonelb.standins.StubServer;

/**
 * Guards against clients whose input, within the limits of size, occupies the event loop or the heap so that other
 * clients get no answer. The gateway runs with the JVM options of the deploy file.
 */
class HostileClientsTest {
    private static final long TIMEOUT_S = 60;
    private static final int USUAL_CLIENTS = 6;

    @TempDir
    Path folder;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final UsualClients usualClients = new UsualClients();
    private StubPlatform platform;
    private GatewayProcess gateway;
    private int respPort;

    @BeforeEach
    void start() throws Exception {
        platform = new StubPlatform();
        Files.writeString(folder.resolve("plans.yaml"), OpenApiFrontendTest.DESCRIPTION);
        gateway = new GatewayProcess(
                folder,
                platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN),
                OpenApiFrontendTest.settings(folder.resolve("plans.yaml"), platform.http.port()),
                "@deploy/jvm.options",
                "-cp",
                System.getProperty("java.class.path"),
                "stonelb.gateway.Main");
        respPort = gateway.port("RESP2 requests");
        usualClients.start(USUAL_CLIENTS, respPort, "u", HostileClientsTest::isServed);
    }

    @AfterEach
    void stop() throws IOException {
        usualClients.close();
        threads.shutdownNow();
        gateway.close();
        platform.close();
    }

    private static boolean isServed(Client client, String id) throws IOException {
        String attributes = GatewayProcessFixture.attributes("read", "open", UsualClients.DEADLINE_MS);
        return client.call("Q.ASK", GatewayProcessFixture.CUSTOMER, id, attributes, id)
                .equals("echo " + id);
    }

    /** review/7: the time to parse a field list grew with the square of its length, 2 s for one command. */
    @Test
    void fieldListsOfManyEmptyFieldsDoNotDelayOthers() throws Exception {
        int commands = 100;
        String[] command = {"Q.ASK", GatewayProcessFixture.CUSTOMER, "bad", ",".repeat(65_000)};
        List<CompletableFuture<Void>> hostileClients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            hostileClients.add(inBackground(() -> {
                try (Client client = new Client(respPort)) {
                    CompletableFuture<Void> responses = inBackground(() -> {
                        for (int response = 0; response < commands; response++) {
                            assertEquals("-ERR the class is missing", StubServer.readResp(client.in));
                        }
                    });
                    for (int sent = 0; sent < commands; sent++) {
                        client.sendCommand(command);
                    }
                    responses.get(TIMEOUT_S, TimeUnit.SECONDS);
                }
            }));
        }
        for (CompletableFuture<Void> hostileClient : hostileClients) {
            hostileClient.get(TIMEOUT_S, TimeUnit.SECONDS);
        }
        assertUsualClientsWereServed();
    }

    private void assertUsualClientsWereServed() throws InterruptedException {
        int servedBefore = usualClients.served();
        GatewayProcess.awaitCondition(
                "usual clients are served", () -> usualClients.served() > servedBefore + 10 * USUAL_CLIENTS);
        assertEquals(List.of(), usualClients.stop());
        assertTrue(gateway.isAlive(), () -> gateway.log().toString());
    }

    private interface Task {
        void run() throws Exception;
    }

    private CompletableFuture<Void> inBackground(Task task) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                threads);
    }
}
