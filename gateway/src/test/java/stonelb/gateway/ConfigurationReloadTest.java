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

/** Reloads of a configuration that is replaced under load. */
class ConfigurationReloadTest {
    @TempDir
    Path folder;

    private int requestCount;

    /** Sends a request of a new customer, so that the quota counter is called for it. */
    private void expectServed(Client client) throws Exception {
        String number = Integer.toHexString(++requestCount);
        assertEquals(
                "echo x",
                client.ask(
                        "Q.ASK",
                        "0".repeat(16 - number.length()) + number,
                        number,
                        "c=read,t=five,d=9000,units=1,spread=1,first=0",
                        "x"));
    }

    private void replace(String config, GatewayProcess program) throws Exception {
        Files.writeString(folder.resolve("new.json"), config);
        Files.move(folder.resolve("new.json"), folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
        program.hangUp();
    }

    @Test
    void discoveryAndCounterMigrateUnderLoadAndInvalidFilesChangeNothing() throws Exception {
        try (StubPlatform previous = new StubPlatform();
                StubPlatform current = new StubPlatform()) {
            String config = previous.config("127.0.0.1:0", GatewayProcess.FIVE);
            try (GatewayProcess program = new GatewayProcess(folder, config, null);
                    Client client = new Client(program.port("RESP2 requests"))) {
                expectServed(client);
                replace("{\"listen\":5", program);
                GatewayProcess.until(
                        "the invalid file is logged", () -> program.line("configuration rejected") != null);
                replace(config.replace(previous.counter.address(), "nowhere"), program);
                GatewayProcess.until(
                        "the invalid address is logged",
                        () -> program.log().stream()
                                        .filter(l -> l.contains("configuration rejected"))
                                        .count()
                                == 2);
                expectServed(client);
                assertTrue(previous.ran.size() == 2 && !previous.added.isEmpty());

                // Its connection is in use while the endpoint's address changes, and must not be used again.
                client.command(
                        "Q.ASK",
                        "0000000000000001",
                        "slow",
                        "c=read,t=five,d=9000,units=1,spread=1,first=0",
                        "slow 1000");
                replace(
                        config.replace(previous.discovery.address(), current.discovery.address())
                                .replace(previous.counter.address(), current.counter.address()),
                        program);
                try (Client other = new Client(program.port("RESP2 requests"))) {
                    GatewayProcess.until("the new endpoint list is in use", () -> {
                        try {
                            expectServed(other);
                        } catch (Exception e) {
                            throw new AssertionError("a request was lost meanwhile", e);
                        }
                        return program.line("discovery migrated") != null;
                    });
                }
                assertEquals("echo slow 1000", StubServer.resp(client.in));
                previous.discovery.close();
                previous.counter.close();
                int ranThere = current.ran.size();
                for (int i = 0; i < 20; i++) {
                    expectServed(client);
                }
                assertEquals(ranThere + 20, current.ran.size(), "the new discovery's list is used");
                GatewayProcess.until("the new counter is called", () -> !current.added.isEmpty());
                assertNull(program.line("discovery unavailable"));
                assertNull(program.line("quota counter unreachable"));
                assertNull(program.line("internal error"));

                program.hangUp();
                program.terminate();
                expectServed(client);
                assertTrue(program.ended(20_000));
                assertTrue(program.line("graceful shutdown complete") != null);
            }
        }
    }

    /** The last of several configurations is the one in use, and no request is lost on the way there. */
    @Test
    void configurationsInQuickSuccessionEndWithTheLast() throws Exception {
        try (StubPlatform first = new StubPlatform();
                StubPlatform last = new StubPlatform()) {
            String config = first.config("127.0.0.1:0", GatewayProcess.FIVE);
            String lastConfig = config.replace(first.discovery.address(), last.discovery.address())
                    .replace(first.counter.address(), last.counter.address());
            try (GatewayProcess program = new GatewayProcess(folder, config, null);
                    Client client = new Client(program.port("RESP2 requests"))) {
                for (int i = 0; i < 11; i++) {
                    replace(i % 2 == 0 ? lastConfig : config, program);
                    expectServed(client);
                }
                GatewayProcess.until("the last configuration is in use", () -> {
                    int ranThere = last.ran.size();
                    expectServed(client);
                    return last.ran.size() > ranThere;
                });
                int ranBefore = first.ran.size();
                for (int i = 0; i < 20; i++) {
                    expectServed(client);
                }
                assertEquals(ranBefore, first.ran.size());
                assertNull(program.line("internal error"));
            }
        }
    }

    /** Under nohup SIGHUP is ignored: this is logged, and a replaced file is read all the same. */
    @Test
    void processIgnoringSighupLogsItAndReloadsReplacedFile() throws Exception {
        try (StubPlatform previous = new StubPlatform();
                StubPlatform current = new StubPlatform()) {
            String config = previous.config("127.0.0.1:0", GatewayProcess.FIVE);
            try (GatewayProcess program = GatewayProcess.deaf(folder, config);
                    Client client = new Client(program.port("RESP2 requests"))) {
                assertTrue(program.line("SIGHUP is ignored by this process") != null);
                expectServed(client);
                replace("{\"listen\":5", program);
                GatewayProcess.until(
                        "the invalid file is logged", () -> program.line("configuration rejected") != null);
                replace(config.replace(previous.discovery.address(), current.discovery.address()), program);
                GatewayProcess.until(
                        "the new endpoint list is in use", () -> program.line("discovery migrated") != null);
                expectServed(client);
                assertEquals(1, current.ran.size());
                assertEquals(
                        1,
                        program.log().stream()
                                .filter(l -> l.contains("configuration rejected"))
                                .count());
            }
        }
    }

    /** An internal error during one reload must not end later ones. */
    @Test
    void internalErrorIsLoggedAndNextReloadIsApplied() throws Exception {
        try (StubPlatform platform = new StubPlatform()) {
            Path file = folder.resolve("config.json");
            Files.writeString(file, platform.config("127.0.0.1:0", GatewayProcess.FIVE));
            ConfigurationReloader reloader =
                    new ConfigurationReloader(new RateLimitedLog(), Map.of("PROXY_CONFIG", file.toString()));
            SynchronousQueue<String> appliedNames = new SynchronousQueue<>();
            AtomicInteger reloads = new AtomicInteger();
            reloader.start(c -> {
                if (reloads.incrementAndGet() == 1) {
                    throw new IllegalStateException("planted");
                }
                try {
                    appliedNames.put(c.name());
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            for (int i = 0; i < 2; i++) {
                int before = reloads.get();
                reloader.invoke(null, handlerMethod("handle"), new Object[0]);
                GatewayProcess.until("the file was read", () -> reloads.get() > before);
            }
            assertEquals("n0", appliedNames.poll(10, TimeUnit.SECONDS));
        }
    }

    private static Method handlerMethod(String name) throws Exception {
        return Class.forName("sun.misc.SignalHandler").getMethod(name, Class.forName("sun.misc.Signal"));
    }
}
