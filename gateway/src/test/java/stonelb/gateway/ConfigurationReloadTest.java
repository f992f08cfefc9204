package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.io.RateLimitedLog;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;
import stonelb.standins.StubServer;

/** Tests reloads of the configuration while requests are served. */
class ConfigurationReloadTest {
    @TempDir
    Path folder;

    private int requestCount;

    /** Sends a request of a new customer, which causes a call to the quota counter. */
    private void expectServed(Client client) throws Exception {
        String number = Integer.toHexString(++requestCount);
        assertEquals(
                "echo x",
                client.call(
                        "Q.ASK",
                        "0".repeat(16 - number.length()) + number,
                        number,
                        "c=read,t=five,d=9000,units=1,spread=1,first=0",
                        "x"));
    }

    private void replaceConfigAndHangUp(String config, GatewayProcess program) throws Exception {
        Files.writeString(folder.resolve("new.json"), config);
        Files.move(folder.resolve("new.json"), folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
        program.sendSighup();
    }

    @Test
    void discoveryAndCounterMigrateUnderLoadAndInvalidFilesChangeNothing() throws Exception {
        try (StubPlatform previous = new StubPlatform();
                StubPlatform current = new StubPlatform()) {
            String config = previous.config("127.0.0.1:0", GatewayProcess.FIVE_UNIT_PLAN);
            try (GatewayProcess program = new GatewayProcess(folder, config, null);
                    Client client = new Client(program.port("RESP2 requests"))) {
                expectServed(client);
                replaceConfigAndHangUp("{\"listen\":5", program);
                GatewayProcess.awaitCondition(
                        "the invalid file is logged", () -> program.firstLogLine("configuration rejected") != null);
                replaceConfigAndHangUp(config.replace(previous.counter.address(), "nowhere"), program);
                GatewayProcess.awaitCondition(
                        "the invalid address is logged",
                        () -> program.log().stream()
                                        .filter(line -> line.contains("configuration rejected"))
                                        .count()
                                == 2);
                expectServed(client);
                assertTrue(previous.executedRequests.size() == 2 && !previous.counterCalls.isEmpty());

                // The endpoint's address changes while this request uses a connection, which must not be reused then.
                client.sendCommand(
                        "Q.ASK",
                        "0000000000000001",
                        "slow",
                        "c=read,t=five,d=9000,units=1,spread=1,first=0",
                        "slow 1000");
                replaceConfigAndHangUp(
                        config.replace(previous.discovery.address(), current.discovery.address())
                                .replace(previous.counter.address(), current.counter.address()),
                        program);
                try (Client other = new Client(program.port("RESP2 requests"))) {
                    GatewayProcess.awaitCondition("the new endpoint list is in use", () -> {
                        try {
                            expectServed(other);
                        } catch (Exception e) {
                            throw new AssertionError("a request failed during the reload", e);
                        }
                        return program.firstLogLine("discovery migrated") != null;
                    });
                }
                assertEquals("echo slow 1000", StubServer.readResp(client.in));
                previous.discovery.close();
                previous.counter.close();
                int executedByCurrent = current.executedRequests.size();
                for (int i = 0; i < 20; i++) {
                    expectServed(client);
                }
                assertEquals(
                        executedByCurrent + 20, current.executedRequests.size(), "the new discovery's list is used");
                GatewayProcess.awaitCondition("the new counter is called", () -> !current.counterCalls.isEmpty());
                assertNull(program.firstLogLine("discovery unavailable"));
                assertNull(program.firstLogLine("quota counter unreachable"));
                assertNull(program.firstLogLine("internal error"));

                program.sendSighup();
                program.sendSigterm();
                expectServed(client);
                assertTrue(program.awaitExit(20_000));
                assertTrue(program.firstLogLine("graceful shutdown complete") != null);
            }
        }
    }

    /** After several reloads in quick succession the last configuration is in use, and no request has failed. */
    @Test
    void lastOfRapidReloadsIsInUse() throws Exception {
        try (StubPlatform first = new StubPlatform();
                StubPlatform last = new StubPlatform()) {
            String config = first.config("127.0.0.1:0", GatewayProcess.FIVE_UNIT_PLAN);
            String lastConfig = config.replace(first.discovery.address(), last.discovery.address())
                    .replace(first.counter.address(), last.counter.address());
            try (GatewayProcess program = new GatewayProcess(folder, config, null);
                    Client client = new Client(program.port("RESP2 requests"))) {
                for (int i = 0; i < 11; i++) {
                    replaceConfigAndHangUp(i % 2 == 0 ? lastConfig : config, program);
                    expectServed(client);
                }
                GatewayProcess.awaitCondition("the last configuration is in use", () -> {
                    int executedByCurrent = last.executedRequests.size();
                    expectServed(client);
                    return last.executedRequests.size() > executedByCurrent;
                });
                int executedByFirst = first.executedRequests.size();
                for (int i = 0; i < 20; i++) {
                    expectServed(client);
                }
                assertEquals(executedByFirst, first.executedRequests.size());
                assertNull(program.firstLogLine("internal error"));
            }
        }
    }

    /** Under nohup SIGHUP is ignored: the gateway logs this and polls for a replaced file instead. */
    @Test
    void processIgnoringSighupLogsItAndReloadsReplacedFile() throws Exception {
        try (StubPlatform previous = new StubPlatform();
                StubPlatform current = new StubPlatform()) {
            String config = previous.config("127.0.0.1:0", GatewayProcess.FIVE_UNIT_PLAN);
            try (GatewayProcess program = GatewayProcess.ignoringSighup(folder, config);
                    Client client = new Client(program.port("RESP2 requests"))) {
                assertTrue(program.firstLogLine("SIGHUP is ignored by this process") != null);
                expectServed(client);
                replaceConfigAndHangUp("{\"listen\":5", program);
                GatewayProcess.awaitCondition(
                        "the invalid file is logged", () -> program.firstLogLine("configuration rejected") != null);
                replaceConfigAndHangUp(
                        config.replace(previous.discovery.address(), current.discovery.address()), program);
                GatewayProcess.awaitCondition(
                        "the new endpoint list is in use", () -> program.firstLogLine("discovery migrated") != null);
                expectServed(client);
                assertEquals(1, current.executedRequests.size());
                assertEquals(
                        1,
                        program.log().stream()
                                .filter(line -> line.contains("configuration rejected"))
                                .count());
            }
        }
    }

    /** An exception during one reload must not end the reload thread. */
    @Test
    void internalErrorIsLoggedAndNextReloadIsApplied() throws Exception {
        try (StubPlatform platform = new StubPlatform()) {
            Path file = folder.resolve("config.json");
            Files.writeString(file, platform.config("127.0.0.1:0", GatewayProcess.FIVE_UNIT_PLAN));
            ConfigurationReloader reloader =
                    new ConfigurationReloader(new RateLimitedLog(), Map.of("PROXY_CONFIG", file.toString()));
            SynchronousQueue<String> appliedNames = new SynchronousQueue<>();
            AtomicInteger reloads = new AtomicInteger();
            reloader.start(configuration -> {
                if (reloads.incrementAndGet() == 1) {
                    throw new IllegalStateException("injected failure");
                }
                try {
                    appliedNames.put(configuration.name());
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            for (int i = 0; i < 2; i++) {
                int before = reloads.get();
                reloader.invoke(null, handlerMethod("handle"), new Object[0]);
                GatewayProcess.awaitCondition("the file was read", () -> reloads.get() > before);
            }
            assertEquals("n0", appliedNames.poll(10, TimeUnit.SECONDS));
        }
    }

    private static Method handlerMethod(String name) throws Exception {
        return Class.forName("sun.misc.SignalHandler").getMethod(name, Class.forName("sun.misc.Signal"));
    }
}
