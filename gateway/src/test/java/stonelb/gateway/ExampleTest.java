package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubServer;

/** Runs the gateway with the files of the examples folder; only the ports are replaced. */
class ExampleTest {
    @TempDir
    Path folder;

    @Test
    void exampleFolderRunsBothFrontends() throws Exception {
        Process toyPlatform = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "examples/ToyPlatform.java",
                        "0")
                .redirectErrorStream(true)
                .start();
        try {
            Map<String, String> addresses = new HashMap<>();
            BufferedReader output = toyPlatform.inputReader();
            while (!addresses.containsKey("discovery")) {
                String line = output.readLine();
                addresses.put(line.substring(0, line.lastIndexOf(' ')), line.substring(line.lastIndexOf(' ') + 1));
            }
            String config = Files.readString(Path.of("examples/config.json"))
                    .replace("127.0.0.1:6379", "127.0.0.1:0")
                    .replace("127.0.0.1:8500", addresses.get("discovery"))
                    .replace("127.0.0.1:6400", addresses.get("counter"));
            String httpAddress = addresses.get("plan server, HTTP");
            String openApi = Files.readString(Path.of("examples/openapi.json"))
                    .replace("127.0.0.1:8080", "127.0.0.1:0")
                    .replace("8081", httpAddress.substring(httpAddress.indexOf(':') + 1));
            try (GatewayProcess program = new GatewayProcess(folder, config, openApi)) {
                try (Client client = new Client(program.port("RESP2 requests"))) {
                    GatewayProcess.awaitCondition("the gateway is ready", () -> {
                        try {
                            return client.call("PING").equals("+PONG");
                        } catch (IOException e) {
                            return false;
                        }
                    });
                    assertTrue(client.call(
                                    "Q.ASK",
                                    "00000000b4d65521",
                                    "1",
                                    "c=plan-read,t=consulta,d=4000,units=1,spread=1,first=0")
                            .startsWith("Q.ASK 00000000b4d65521 1 c="));
                }
                try (Client client = new Client(program.port("HTTP requests"))) {
                    StubServer.HttpMessage response = client.httpCall(
                            "GET /v1/plans/7 HTTP/1.1\r\nX-Customer: b4d65521\r\nX-Plan: consulta\r\n\r\n");
                    assertEquals(
                            "GET /v1/plans/7 ",
                            response.body() + (response.body().endsWith(" ") ? "" : " "));
                }
            }
        } finally {
            toyPlatform.destroyForcibly();
        }
    }
}
