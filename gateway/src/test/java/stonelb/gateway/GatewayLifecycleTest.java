package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubServer;

/** Tests startup and shutdown of the gateway process: invalid configurations, and shutdown with requests in flight. */
class GatewayLifecycleTest extends GatewayProcessFixture {
    private static final int SIGTERM_EXIT_CODE = 143;

    @Test
    void gracefulShutdownAnswersInFlightAndServesNewClients() throws Exception {
        client.sendCommand("Q.DO", CUSTOMER, "1", attributes("log", "open", 15_000), "slow 1500");
        GatewayProcess.awaitCondition("the request is in flight", () -> !platform.executedRequests.isEmpty());
        gateway.sendSigterm();
        GatewayProcess.awaitCondition(
                "the graceful shutdown starts",
                () -> gateway.firstLogLine("graceful shutdown started, 1 requests in flight") != null);
        try (Client newClient = new Client(client.socket.getPort())) {
            assertEquals("echo late", newClient.call("Q.ASK", CUSTOMER, "9", attributes("read", "open", 9000), "late"));
            assertEquals(-1, newClient.in.read(), "an idle connection is closed");
        }
        assertEquals("echo slow 1500", StubServer.readResp(client.in));
        assertEquals(-1, client.in.read());
        assertTrue(gateway.awaitExit(20_000));
        assertTrue(gateway.firstLogLine("graceful shutdown complete") != null);
    }

    /** If connections closed early in a shutdown, their clients would overload the other gateways. */
    @Test
    void existingConnectionIsServedForMostOfShutdown() throws Exception {
        gateway.sendSigterm();
        for (int i = 0; i < 10; i++) {
            Thread.sleep(100);
            assertEquals("echo " + i, read("open", 9000, "" + i));
        }
        assertEquals(-1, client.in.read());
        assertTrue(gateway.awaitExit(20_000));
    }

    @Test
    void requestInFlightAtTimeLimitFails() throws Exception {
        client.sendCommand("Q.DO", CUSTOMER, "1", attributes("log", "open", 19_000), "slow 30000");
        GatewayProcess.awaitCondition("the request is in flight", () -> !platform.executedRequests.isEmpty());
        gateway.sendSigterm();
        assertEquals("-ERR failed", StubServer.readResp(client.in));
        assertTrue(gateway.awaitExit(20_000));
    }

    /** SIGTERM may arrive at any moment of the startup. */
    @Test
    void terminationDuringStartupEndsProcess() throws Exception {
        for (int delayMs = 0; delayMs <= 1000; delayMs += 200) {
            try (GatewayProcess starting =
                    new GatewayProcess(folder, platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN), null)) {
                Thread.sleep(delayMs);
                starting.sendSigterm();
                assertTrue(starting.awaitExit(10_000), "after " + delayMs + " ms");
                assertEquals(SIGTERM_EXIT_CODE, starting.exitCode(), "after " + delayMs + " ms");
                assertNull(starting.firstLogLine("internal error"));
            }
        }
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        String validConfig = platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN);
        String[] invalidConfigs = {
            "",
            "{",
            "[]",
            validConfig.replace("127.0.0.1:0", "nowhere"),
            validConfig.replace("idempotent", "perhaps"),
            validConfig.replace("\"seed\":\"8c", "\"seed\":\"zz"),
            validConfig.replace("\"categories\"", "\"others\""),
            validConfig.replace("\"name\":\"log\",", ""),
            validConfig.replace("\"name\":\"s-1\",", ""),
            validConfig.replace("127.0.0.1:0", "127.0.0.1:" + client.socket.getPort())
        };
        for (String config : invalidConfigs) {
            try (GatewayProcess other = new GatewayProcess(folder, config, null)) {
                assertTrue(other.awaitExit(20_000), config);
                assertNotEquals(0, other.exitCode());
                GatewayProcess.awaitCondition(
                        "the gateway logs the reason", () -> !other.log().isEmpty());
                assertEquals(1, other.log().size(), other.log().toString());
                assertTrue(
                        other.log().get(0).startsWith("stonelb: "), other.log().get(0));
            }
        }
    }
}
