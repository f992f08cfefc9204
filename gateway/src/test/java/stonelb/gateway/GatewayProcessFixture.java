package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;

/** Base class of tests that run a gateway process with stub servers and a client of the platform's protocol. */
abstract class GatewayProcessFixture {
    static final String CUSTOMER = "0000000000000001";

    @TempDir
    Path folder;

    StubPlatform platform;
    GatewayProcess gateway;
    Client client;
    private int logRequests;

    @BeforeEach
    void start() throws Exception {
        platform = new StubPlatform();
        gateway = new GatewayProcess(
                folder,
                platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN + "," + GatewayProcess.FIVE_UNIT_PLAN),
                null);
        client = new Client(gateway.port("RESP2 requests"));
    }

    @AfterEach
    void stop() throws IOException {
        String internalError = gateway.firstLogLine("internal error");
        client.close();
        gateway.close();
        platform.close();
        assertNull(internalError);
    }

    /** Formats the attributes of a request whose client waits for {@code waitMs}. */
    static String attributes(String requestClass, String plan, int waitMs) {
        return "c=" + requestClass + ",t=" + plan + ",d=" + waitMs + ",units=1,spread=1,first=0";
    }

    /** Sends an idempotent request and returns the response. */
    String read(String plan, int waitMs, String body) throws IOException {
        return client.call("Q.ASK", "00000000b4d65521", "9b1f03aa5c7e2d41", attributes("read", plan, waitMs), body);
    }

    /** Sends a request that is not idempotent and returns the response. */
    String log(String plan, int waitMs, String body) throws IOException {
        String id = "log" + logRequests++;
        return client.call("Q.DO", "00000000b4d65521", id, attributes("log", plan, waitMs), body);
    }
}
