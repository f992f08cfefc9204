package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.config.Configuration;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;
import stonelb.standins.GatewayProcess;
import stonelb.standins.StubPlatform;

/** The warm-up's requests must be served, but must not reach endpoints, counter or log. */
class WarmUpTest {
    @TempDir
    Path folder;

    @Test
    void syntheticRequestsAreServedAndNeverLeaveTheProcess() throws Exception {
        try (StubPlatform platform = new StubPlatform()) {
            Path file = folder.resolve("config.json");
            Files.writeString(
                    file,
                    platform.config(
                            "127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN + "," + GatewayProcess.FIVE_UNIT_PLAN));
            Configuration config = Configuration.read(Map.of("PROXY_CONFIG", file.toString()));
            RateLimitedLog log = new RateLimitedLog();
            EventLoop loop = new EventLoop(log);
            CompletableFuture<WarmUp> completed = new CompletableFuture<>();
            loop.execute(() -> completed.complete(WarmUp.run(config, loop, log)));
            WarmUp warmUp = completed.get(20, TimeUnit.SECONDS);
            assertTrue(
                    warmUp.requestsSent() > 0 && warmUp.attemptsServed() > 0,
                    warmUp.requestsSent() + " sent, " + warmUp.attemptsServed() + " served");

            try (GatewayProcess program = new GatewayProcess(folder, Files.readString(file), null);
                    GatewayProcess.Client client = new GatewayProcess.Client(program.port("RESP2 requests"))) {
                assertEquals("+PONG", client.call("PING"));
                assertEquals(0, platform.receivedRequests.size() + platform.counterCalls.size());
                assertEquals(1, program.log().size(), program.log().toString());
            }
        }
    }
}
