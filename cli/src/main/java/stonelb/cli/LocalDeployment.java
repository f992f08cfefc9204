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
import stonelb.proxy.StubProxy;
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
    private final List<StubProxy> proxies = new ArrayList<>();
    private ControlService controlService;

    /**
     * Starts only the stub platform.
     *
     * @param planServers the number of plan servers
     * @param gateways the number of gateways or proxies that share the quotas
     * @param plans the plans in the gateways' settings, as JSON objects separated by commas
     * @param workMs the mean processing time of a plan server for a request, in milliseconds
     */
    LocalDeployment(int planServers, int gateways, String plans, double workMs) throws IOException {
        platform = new StubFleet(planServers);
        platform.plans = plans;
        platform.meanWorkMs = workMs;
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
     * Starts a proxy that the control service configures and waits until it has received its resources.
     *
     * @throws IOException if it has not received them within 10 s
     */
    StubProxy startProxy(String name) throws IOException, InterruptedException {
        ClientOptions options = new ClientOptions(name, LOOPBACK, controlService.port(), true, null, PROXY_HOLD_MS);
        StubProxy proxy = new StubProxy(options, 0);
        proxies.add(proxy);
        for (int poll = 0; poll < READY_POLLS && !proxy.controlClient().isReady(); poll++) {
            Thread.sleep(READY_POLL_MS);
        }
        if (!proxy.controlClient().isReady()) {
            throw new IOException("proxy " + name + " got no resources within 10 s");
        }
        return proxy;
    }

    /**
     * Sends a customer's request to a gateway or proxy.
     *
     * @param port the port of the gateway or proxy
     * @param request the request
     * @param spread the number of gateways or proxies over which the customer's requests are spread
     * @param onResponse called with the HTTP status, or 0 if there was no response, on a thread of the HTTP client
     */
    void send(int port, GeneratedRequest request, int spread, IntConsumer onResponse) {
        String path = request.recordsSession() ? "/v1/sessions" : "/v1/plans/7";
        HttpRequest httpRequest = HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + port + path))
                .method(request.recordsSession() ? "POST" : "GET", HttpRequest.BodyPublishers.noBody())
                .header("X-Customer", request.customer().id())
                .header("X-Plan", request.customer().plan().name())
                .header("X-Spread", Integer.toString(spread))
                .header("X-Id", request.id())
                .build();
        CompletableFuture<Void> unused = client.sendAsync(httpRequest, HttpResponse.BodyHandlers.discarding())
                .handle((response, failure) -> failure != null ? NO_RESPONSE : response.statusCode())
                .thenAccept(onResponse::accept);
    }

    @Override
    public void close() throws IOException {
        proxies.forEach(StubProxy::close);
        if (controlService != null) {
            controlService.close();
        }
        platform.close();
    }
}
