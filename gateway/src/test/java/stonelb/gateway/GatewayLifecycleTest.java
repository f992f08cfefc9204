package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubServer;

/** Start and end of the gateway process: invalid configurations, and shutdown with requests in flight. */
class GatewayLifecycleTest extends GatewayProcessFixture {
    private static final int SIGTERM_EXIT_CODE = 143;

    @Test
    void gracefulShutdownAnswersInFlightAndServesNewClients() throws Exception {
        client.command("Q.DO", CUSTOMER, "1", attributes("log", "open", 15_000), "slow 1500");
        GatewayProcess.until("it is in flight", () -> !platform.ran.isEmpty());
        gateway.terminate();
        GatewayProcess.until(
                "the graceful shutdown starts",
                () -> gateway.line("graceful shutdown started, 1 requests in flight") != null);
        try (Client late = new Client(client.socket.getPort())) {
            assertEquals("echo late", late.ask("Q.ASK", CUSTOMER, "9", attributes("read", "open", 9000), "late"));
            assertEquals(-1, late.in.read(), "an idle connection is closed");
        }
        assertEquals("echo slow 1500", StubServer.resp(client.in));
        assertEquals(-1, client.in.read());
        assertTrue(gateway.ended(20_000));
        assertTrue(gateway.line("graceful shutdown complete") != null);
    }

    /** Clients whose connections close early in a shutdown would crowd the other gateways meanwhile. */
    @Test
    void clientIsServedOnItsConnectionForMostOfTheShutdown() throws Exception {
        gateway.terminate();
        for (int i = 0; i < 10; i++) {
            Thread.sleep(100);
            assertEquals("echo " + i, read("open", 9000, "" + i));
        }
        assertEquals(-1, client.in.read());
        assertTrue(gateway.ended(20_000));
    }

    @Test
    void requestInFlightAtTheTimeLimitIsAnsweredUnserved() throws Exception {
        client.command("Q.DO", CUSTOMER, "1", attributes("log", "open", 19_000), "slow 30000");
        GatewayProcess.until("it is in flight", () -> !platform.ran.isEmpty());
        gateway.terminate();
        assertEquals("-ERR failed", StubServer.resp(client.in));
        assertTrue(gateway.ended(20_000));
    }

    /** A signal may come at any moment of the start. */
    @Test
    void terminationDuringTheStartEndsTheProcess() throws Exception {
        for (int delayMs = 0; delayMs <= 1000; delayMs += 200) {
            try (GatewayProcess starting =
                    new GatewayProcess(folder, platform.config("127.0.0.1:0", GatewayProcess.OPEN), null)) {
                Thread.sleep(delayMs);
                starting.terminate();
                assertTrue(starting.ended(10_000), "after " + delayMs + " ms");
                assertEquals(SIGTERM_EXIT_CODE, starting.exit(), "after " + delayMs + " ms");
                assertNull(starting.line("internal error"));
            }
        }
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        String validConfig = platform.config("127.0.0.1:0", GatewayProcess.OPEN);
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
                assertTrue(other.ended(20_000), config);
                assertNotEquals(0, other.exit());
                GatewayProcess.until("it logs the reason", () -> !other.log().isEmpty());
                assertEquals(1, other.log().size(), other.log().toString());
                assertTrue(
                        other.log().get(0).startsWith("stonelb: "), other.log().get(0));
            }
        }
    }
}
