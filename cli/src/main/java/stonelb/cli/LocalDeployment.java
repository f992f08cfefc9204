package stonelb.cli;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntConsumer;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.control.ControlService;
import stonelb.control.ControlSettings;
import stonelb.follower.ClientOptions;
import stonelb.gateway.GatewayServer;
import stonelb.gateway.openapi.OpenApiSettings;
import stonelb.proxy.StandInProxy;
import stonelb.standins.StubFleet;

/**
 * A stub platform with gateways, a control service and proxies in this process, on loopback addresses, for the commands
 * {@code try} and {@code measure}.
 */
final class LocalDeployment implements AutoCloseable {
    private static final int NO_RESPONSE = 0;
    private static final String LOOPBACK = "127.0.0.1";
    private static final String ANY_PORT = LOOPBACK + ":0";
    private static final int DESCRIPTION_RELOAD_MS = 60_000;
    private static final double PROXY_HOLD_MS = 50;
    private static final int READY_POLLS = 1000;
    private static final int READY_POLL_MS = 10;

    private final StubFleet platform;
    private final Path folder;
    private final HttpClient client;
    private final int gateways;
    private final List<StandInProxy> proxies = new ArrayList<>();
    private ControlService controlService;

    /**
     * Starts the stub platform alone.
     *
     * @param planServers how many plan servers it has
     * @param gateways how many gateways or proxies serve each customer together
     * @param plans the plans in the gateways' settings, as JSON objects separated by commas
     * @param workMs how long a plan server takes for a request on average, in milliseconds
     */
    LocalDeployment(int planServers, int gateways, String plans, double workMs) throws IOException {
        platform = new StubFleet(planServers);
        platform.plans = plans;
        platform.workMs = workMs;
        this.gateways = gateways;
        folder = Files.createTempDirectory("stonelb");
        AtomicFileWriter.write(descriptionFile(), StubFleet.DESCRIPTION);
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    StubFleet platform() {
        return platform;
    }

    private Path descriptionFile() {
        return folder.resolve("plans.yaml");
    }

    private Path writeConfiguration(String name) throws IOException {
        Path file = folder.resolve(name + ".json");
        AtomicFileWriter.write(file, platform.config(name, ANY_PORT, gateways));
        return file;
    }

    private static Configuration readConfiguration(Path file) throws InvalidConfigurationException {
        return Configuration.read(Map.of("PROXY_CONFIG", file.toString()));
    }

    /**
     * Starts a gateway with its OpenAPI front end, which reaches plan servers over HTTP.
     *
     * @return the port of the OpenAPI front end
     */
    int startGateway(String name) throws IOException, InvalidConfigurationException {
        OpenApiSettings openApi = new OpenApiSettings(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                descriptionFile(),
                platform.httpPort(),
                DESCRIPTION_RELOAD_MS);
        GatewayServer gateway = new GatewayServer(readConfiguration(writeConfiguration(name)), openApi);
        gateway.start();
        return gateway.openApiPort();
    }

    /** Starts the control service on a free port. */
    void startControlService() throws IOException, InvalidConfigurationException {
        startControlService(ANY_PORT);
    }

    private void startControlService(String listenAddress) throws IOException, InvalidConfigurationException {
        Path configurationFile = writeConfiguration("control");
        JsonObject settings = new JsonObject();
        settings.addProperty("listen", listenAddress);
        settings.addProperty("plaintext", true);
        settings.addProperty("gateway", configurationFile.toString());
        settings.addProperty("description", descriptionFile().toString());
        Path settingsFile = folder.resolve("control-settings.json");
        AtomicFileWriter.write(settingsFile, new Gson().toJson(settings));
        controlService = new ControlService(readConfiguration(configurationFile), ControlSettings.read(settingsFile));
        controlService.start();
    }

    /** Closes the control service and starts a new one on the same port. */
    void restartControlService() throws IOException, InvalidConfigurationException {
        int port = controlService.port();
        controlService.close();
        startControlService(LOOPBACK + ":" + port);
    }

    ControlService controlService() {
        return controlService;
    }

    /**
     * Starts a proxy that the control service directs and waits until it has its resources.
     *
     * @throws IOException if it has none after 10 s
     */
    StandInProxy startProxy(String name) throws IOException, InterruptedException {
        ClientOptions options = new ClientOptions(name, LOOPBACK, controlService.port(), true, null, PROXY_HOLD_MS);
        StandInProxy proxy = new StandInProxy(options, 0);
        proxies.add(proxy);
        for (int poll = 0; poll < READY_POLLS && !proxy.follower().ready(); poll++) {
            Thread.sleep(READY_POLL_MS);
        }
        if (!proxy.follower().ready()) {
            throw new IOException("proxy " + name + " got no resources within 10 s");
        }
        return proxy;
    }

    /**
     * Sends a clinic's request to a gateway or proxy.
     *
     * @param port the port of the gateway or proxy
     * @param request the request
     * @param spread over how many gateways or proxies the clinic's requests are spread
     * @param onResponse is given the HTTP status, or 0 where there was no response, on a thread of the HTTP client
     */
    void send(int port, GeneratedRequest request, int spread, IntConsumer onResponse) {
        String path = request.sessionLog() ? "/v1/sessions" : "/v1/plans/7";
        HttpRequest httpRequest = HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + port + path))
                .method(request.sessionLog() ? "POST" : "GET", HttpRequest.BodyPublishers.noBody())
                .header("X-Customer", request.clinic().id())
                .header("X-Plan", request.clinic().plan().name())
                .header("X-Spread", Integer.toString(spread))
                .header("X-Id", request.id())
                .build();
        CompletableFuture<Void> unused = client.sendAsync(httpRequest, HttpResponse.BodyHandlers.discarding())
                .handle((response, failure) -> failure != null ? NO_RESPONSE : response.statusCode())
                .thenAccept(onResponse::accept);
    }

    @Override
    public void close() throws IOException {
        proxies.forEach(StandInProxy::close);
        if (controlService != null) {
            controlService.close();
        }
        platform.close();
    }
}
