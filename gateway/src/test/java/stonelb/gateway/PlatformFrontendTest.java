package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubServer;

/** Tests the gateway process over the platform's protocol, against stub servers. */
class PlatformFrontendTest extends GatewayProcessFixture {
    @Test
    void forwardsRequestUnchangedExceptForRemainingTime() throws IOException {
        assertEquals("+PONG", client.call("PING"));
        assertEquals("echo hello", read("open", 5000, "hello"));
        String sent = platform.receivedRequests.get(0);
        assertTrue(
                sent.matches("\\[Q.ASK, 00000000b4d65521, 9b1f03aa5c7e2d41, c=read,t=open,d=\\d+,units=1,spread=1,"
                        + "first=0, hello]"),
                sent);
        int leftMs = Integer.parseInt(sent.replaceAll(".*,d=(\\d+).*", "$1"));
        assertTrue(leftMs > 0 && leftMs < 5000, sent);
        assertEquals("echo done", log("open", 5000, "done"));
    }

    @Test
    void rejectsImmediatelyBeyondTheQuota() throws IOException {
        int served = 0;
        String last = "";
        for (int i = 0; i < 8; i++) {
            last = read("five", 15_000, "x");
            served += last.startsWith("echo") ? 1 : 0;
        }
        assertEquals(5, served);
        assertTrue(last.matches("-BUSY \\d+"), "it states a retry delay although the settings ask for none: " + last);
        assertEquals(5, platform.executedRequests.size(), "rejected requests reach no endpoint");
    }

    @Test
    void nonIdempotentRequestThatMayHaveRunIsNotRetried() throws IOException {
        assertEquals("-ERR failed", log("open", 5000, "fail"));
        assertEquals("-ERR failed", log("open", 5000, "reset"));
        assertEquals(2, platform.executedRequests.size());
    }

    @Test
    void idempotentRequestIsRetriedBeforeItFails() throws IOException {
        assertTrue(read("open", 3000, "fail").startsWith("-"));
        assertTrue(platform.executedRequests.size() > 1, platform.executedRequests.toString());
    }

    @Test
    void requestToUnresponsiveEndpointTimesOut() throws IOException {
        assertEquals("-ERR out of time", log("open", 600, "slow 20000"));
        assertEquals(1, platform.executedRequests.size());
        assertEquals(
                "echo next", log("open", 10_000, "next"), "the connection of the abandoned attempt is not used again");
    }

    @Test
    void pipelinedResponsesKeepTheirOrder() throws IOException {
        client.sendCommand("Q.ASK", CUSTOMER, "1", attributes("read", "open", 9000), "slow 300");
        client.sendCommand("PING");
        client.sendCommand("Q.ASK", CUSTOMER, "2", attributes("read", "open", 9000), "quick");
        assertEquals("echo slow 300", StubServer.readResp(client.in));
        assertEquals("+PONG", StubServer.readResp(client.in));
        assertEquals("echo quick", StubServer.readResp(client.in));
    }

    @Test
    void endpointConnectionsAreReusedAfterTheQuietPeriod() throws Exception {
        for (int i = 0; i < 20; i++) {
            assertEquals("echo x", read("open", 9000, "x"));
            Thread.sleep(50);
        }
        assertTrue(
                platform.resp.openConnections() < 20, platform.resp.openConnections() + " connections for 20 requests");
    }

    /**
     * The endpoint drops connections long before the configured idle timeout, and each such connection fails a request.
     * The gateway must learn to reuse connections only for a shorter time.
     */
    @Test
    void connectionsThatGoStaleEarlyAreNotReusedForLong() throws Exception {
        platform.maxIdleMs = 60;
        int failed = 0;
        for (int i = 0; i < 12; i++) {
            failed += log("open", 5000, "x").equals("echo x") ? 0 : 1;
            Thread.sleep(150);
        }
        assertTrue(failed >= 1 && failed <= 6, failed + " of 12 failed");
    }

    @Test
    void extraResponseIsNotMatchedToAnotherRequest() throws IOException {
        for (int i = 0; i < 10; i++) {
            assertEquals("echo twice " + i, read("open", 9000, "twice " + i));
            assertEquals("echo x", read("open", 9000, "x"));
        }
    }

    @Test
    void idleConnectionIsClosedBeforeTheEndpointClosesIt() throws Exception {
        String config = platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN)
                .replace("\"connIdleMs\":30000.0", "\"connIdleMs\":500");
        try (GatewayProcess otherGateway = new GatewayProcess(folder, config, null);
                Client otherClient = new Client(otherGateway.port("RESP2 requests"))) {
            assertEquals("echo x", otherClient.call("Q.ASK", CUSTOMER, "2", attributes("read", "open", 9000), "x"));
            GatewayProcess.awaitCondition(
                    "the gateway closes the connection", () -> platform.resp.openConnections() == 0);
        }
    }

    @Test
    void drainingEndpointGetsNoNewRequests() throws Exception {
        assertEquals("echo a", read("open", 9000, "a"));
        platform.status("terminating");
        GatewayProcess.awaitCondition(
                "the gateway closes its idle connections", () -> platform.resp.openConnections() == 0);
        assertTrue(read("open", 700, "b").startsWith("-BUSY"));
        assertEquals(1, platform.executedRequests.size());
        platform.status("in_service");
        GatewayProcess.awaitCondition("the endpoint is used again", () -> {
            try {
                return read("open", 700, "c").equals("echo c");
            } catch (IOException e) {
                return false;
            }
        });
    }

    @Test
    void clientDisconnectAbandonsItsAttempt() throws Exception {
        client.sendCommand("Q.DO", CUSTOMER, "1", attributes("log", "open", 15_000), "slow 200");
        GatewayProcess.awaitCondition("the request is in flight", () -> !platform.executedRequests.isEmpty());
        client.close();
        GatewayProcess.awaitCondition("the attempt is abandoned", () -> platform.resp.openConnections() == 0);
        client = new Client(gateway.port("RESP2 requests"));
        assertEquals("echo on", read("open", 9000, "on"));
    }

    @Test
    void malformedInputIsAnsweredAndGatewayKeepsServing() throws IOException {
        for (String malformed :
                new String[] {"GET / HTTP/1.1\r\n\r\n", "*1\r\n:5\r\n", "*99999\r\n", "$-7\r\n", "*1\r\n$70000\r\n"}) {
            try (Client other = new Client(client.socket.getPort())) {
                other.write(malformed);
                assertTrue(StubServer.readResp(other.in).startsWith("-ERR Protocol error"), malformed);
                assertEquals(-1, other.in.read(), "the connection is closed");
            }
        }
        String validAttributes = attributes("read", "open", 9000);
        List<String[]> invalidCommands = new ArrayList<>(List.of(
                new String[] {"HELLO", "3"},
                new String[] {"Q.ASK", CUSTOMER, "2"},
                new String[] {"Q.ASK", CUSTOMER, "", validAttributes},
                new String[] {"Q.ASK", CUSTOMER, "a b", validAttributes},
                new String[] {"Q.ASK", CUSTOMER, "2", attributes("log", "open", 9000)}));
        for (String key : new String[] {"zz", "", "1", "00000000zz000001", "0000000200000000", "ffffffffffffffff"}) {
            invalidCommands.add(new String[] {"Q.ASK", key, "2", validAttributes});
        }
        for (String[] replacement : new String[][] {
            {"read", "other"},
            {"open", "none"},
            {"c=read,", ""},
            {"t=open", "c=read"},
            {"9000", "-5"},
            {"9000", "0"},
            {"9000", "NaN"},
            {"9000", "1e3"},
            {"9000", "999999999"},
            {"d=9000,", ""},
            {"units=1", "units=0"},
            {"units=1", "units=-1"},
            {"units=1", "units=1000000"},
            {"units=1", "units="},
            {"units=1", "units=1.2.3"},
            {"units=1", "units=1,units=2"},
            {"units=1", "units=Infinity"},
            {",units=1", ""},
            {"spread=1", "spread=0"},
            {"spread=1", "spread=5"},
            {"spread=1", "spread=0.5"},
            {"first=0", "first=-1"},
            {"first=0", "first=7"},
            {"first=0", "first=x"}
        }) {
            invalidCommands.add(
                    new String[] {"Q.ASK", CUSTOMER, "2", validAttributes.replace(replacement[0], replacement[1])});
        }
        for (String[] command : invalidCommands) {
            assertTrue(client.call(command).startsWith("-ERR"), String.join(" ", command));
        }
        assertEquals("echo on", read("open", 9000, "on"));
        assertEquals(
                1, platform.executedRequests.size(), "none of these reached an endpoint: " + platform.executedRequests);
    }

    @Test
    void requestIdInFlightIsRejectedUntilAnswered() throws Exception {
        try (Client other = new Client(client.socket.getPort())) {
            client.sendCommand("Q.ASK", CUSTOMER, "7", attributes("read", "open", 9000), "slow 400");
            GatewayProcess.awaitCondition("the request is in flight", () -> !platform.executedRequests.isEmpty());
            assertEquals(
                    "-ERR a request with this id is open",
                    other.call("Q.ASK", CUSTOMER, "7", attributes("read", "open", 9000), "x"));
            assertEquals("echo slow 400", StubServer.readResp(client.in));
            assertEquals("echo x", other.call("Q.ASK", CUSTOMER, "7", attributes("read", "open", 9000), "x"));
            client.sendCommand("Q.ASK", CUSTOMER, "8", attributes("read", "open", 9000), "slow 9000");
            GatewayProcess.awaitCondition("the next request is in flight", () -> platform.executedRequests.size() == 3);
            client.close();
            GatewayProcess.awaitCondition("the id of a disconnected client is accepted again", () -> {
                try {
                    return other.call("Q.ASK", CUSTOMER, "8", attributes("read", "open", 9000), "y")
                            .equals("echo y");
                } catch (IOException e) {
                    return false;
                }
            });
        }
    }

    /**
     * Clients that send one request and keep their connection must not cause connections of new clients to be closed.
     */
    @Test
    void newClientIsServedWhileIdleClientsHoldAllConnections() throws Exception {
        String config = platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN)
                .replace("\"sockets\":1024", "\"sockets\":100");
        List<Client> clients = new ArrayList<>();
        try (GatewayProcess otherGateway = new GatewayProcess(folder, config, null)) {
            for (int i = 0; i < 120; i++) {
                Client otherClient = new Client(otherGateway.port("RESP2 requests"));
                clients.add(otherClient);
                if (i % 3 > 0) {
                    assertEquals(
                            "echo x",
                            otherClient.call(
                                    "Q.ASK", CUSTOMER, Integer.toHexString(i), attributes("read", "open", 9000), "x"));
                }
            }
            assertNull(otherGateway.firstLogLine("client connection limit reached"));
        } finally {
            for (Client otherClient : clients) {
                otherClient.close();
            }
        }
    }

    /** Partial messages that are each within the size limit must not exceed the heap together. */
    @Test
    void manyLargePartialMessagesStayWithinTheHeap() throws Exception {
        List<Client> clients = new ArrayList<>();
        String partialCommand =
                "*5\r\n$5\r\nQ.ASK\r\n$65536\r\n" + "x".repeat(65536) + "\r\n$60000\r\n" + "x".repeat(59_000);
        try (GatewayProcess otherGateway = new GatewayProcess(
                folder,
                platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN),
                null,
                "-Xmx48m",
                "-XX:+ExitOnOutOfMemoryError",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "stonelb.gateway.Main")) {
            for (int i = 0; i < 400; i++) {
                Client otherClient = new Client(otherGateway.port("RESP2 requests"));
                clients.add(otherClient);
                try {
                    otherClient.write(partialCommand);
                } catch (IOException e) {
                    // the gateway may close the connection
                }
            }
            try (Client otherClient = new Client(otherGateway.port("RESP2 requests"))) {
                assertEquals("echo x", otherClient.call("Q.ASK", CUSTOMER, "2", attributes("read", "open", 9000), "x"));
            }
            assertTrue(otherGateway.isAlive());
        } finally {
            for (Client otherClient : clients) {
                otherClient.close();
            }
        }
    }

    /**
     * The id of a request was free as soon as its client had left, though an endpoint could still execute it: the same
     * request on another connection was executed a second time.
     */
    @Test
    void requestThatMayHaveRunIsNotForwardedAgainAfterItsClientLeft() throws Exception {
        String[] write = {"Q.DO", CUSTOMER, "again", attributes("log", "open", 9000), "slow 300"};
        try (Client leavingClient = new Client(client.socket.getPort())) {
            leavingClient.sendCommand(write);
            GatewayProcess.awaitCondition(
                    "it is being executed", () -> platform.executedRequests.contains("Q.DO slow 300"));
        }
        GatewayProcess.awaitCondition("the gateway has seen the disconnect", () -> !client.call(write)
                .equals("-ERR a request with this id is open"));
        assertEquals("-ERR a request with this id may have run", client.call(write));
        assertEquals(
                1,
                platform.executedRequests.stream()
                        .filter("Q.DO slow 300"::equals)
                        .count());
        String[] read = {"Q.ASK", CUSTOMER, "again2", attributes("read", "open", 9000), "x"};
        assertEquals("echo x", client.call(read));
        assertEquals("echo x", client.call(read), "an idempotent request may come again");
    }

    @Test
    void connectionWithoutRequestIsClosedAndPartialRequestIsRejected() throws Exception {
        try (Client clientWithoutRequest = new Client(client.socket.getPort());
                Client partial = new Client(client.socket.getPort())) {
            partial.write("*4\r\n$5\r\nQ.A");
            client.sendCommand("Q.ASK", CUSTOMER, "1", attributes("read", "open", 15_000), "slow 4000");
            client.write("*4\r\n$5\r\n");
            assertEquals(-1, clientWithoutRequest.in.read());
            assertTrue(StubServer.readResp(partial.in).startsWith("-ERR Protocol error"));
            assertEquals(-1, partial.in.read());
            assertEquals(
                    "echo slow 4000",
                    StubServer.readResp(client.in),
                    "the complete request before it is still answered");
            assertTrue(StubServer.readResp(client.in).startsWith("-ERR Protocol error"));
        }
    }

    @Test
    void localQuotaIsUsedWhileCounterIsUnresponsive() throws IOException {
        platform.counterUnresponsive = true;
        assertEquals("echo x", read("five", 15_000, "x"));
    }
}
