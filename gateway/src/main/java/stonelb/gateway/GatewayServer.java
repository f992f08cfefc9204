package stonelb.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.core.RequestTable;
import stonelb.counter.CounterClient;
import stonelb.discovery.DiscoveryClient;
import stonelb.discovery.EndpointList;
import stonelb.discovery.EndpointStartTimes;
import stonelb.gateway.endpoint.EndpointConnections;
import stonelb.gateway.frontend.Frontend;
import stonelb.gateway.openapi.OpenApiFrontend;
import stonelb.gateway.openapi.OpenApiSettings;
import stonelb.gateway.platform.PlatformFrontend;
import stonelb.io.EventLoop;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/** One gateway: creates its components, starts them, and shuts them down gracefully. */
public final class GatewayServer {
    /** Maximum wait for discovery's first response before clients are accepted. */
    private static final int FIRST_DISCOVERY_RESPONSE_TIMEOUT_MS = 400;

    /** File descriptors reserved for files, discovery, the quota counter and the event loop. */
    private static final int RESERVED_SOCKETS = 48;

    private static final int MIN_ENDPOINT_CONNECTIONS = 8;

    private final Configuration config;
    private final OpenApiSettings openApiSettings; // null: the OpenAPI frontend is disabled
    private final RateLimitedLog log = new RateLimitedLog();
    private final EventLoop loop = new EventLoop(log);
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);
    private final CountDownLatch endpointsReceived = new CountDownLatch(1);
    private final List<Frontend> frontends = new ArrayList<>();
    private RequestTable requests;
    private EndpointList endpointList;
    private DiscoveryClient discovery;
    private CounterClient counter;
    private boolean serving;
    private int openApiPort;

    /**
     * Prepares a gateway; {@link #start} creates its components.
     *
     * @param openApiSettings settings of the OpenAPI frontend, or null to leave it disabled
     */
    public GatewayServer(Configuration config, OpenApiSettings openApiSettings) {
        this.config = config;
        this.openApiSettings = openApiSettings;
    }

    /**
     * Starts the gateway and returns once it accepts clients.
     *
     * @throws InvalidConfigurationException if the configuration is inconsistent
     * @throws IOException if a port can't be opened or a component can't be created
     */
    public void start() throws IOException, InvalidConfigurationException {
        Exception failure;
        try {
            failure = createComponentsOnLoop();
            if (failure == null) {
                awaitEndpointList();
                // Set before the first request can arrive: otherwise SIGTERM would drop that request.
                loop.execute(() -> serving = true);
                openPorts();
            }
        } catch (Exception e) { // Netty rethrows a failed bind as a checked exception that it does not declare
            failure = e;
            loop.execute(() -> serving = false);
        }
        if (failure instanceof InvalidConfigurationException invalid) {
            throw invalid;
        }
        if (failure != null) {
            throw new IOException(failure.getMessage(), failure);
        }
    }

    /** Returns the port of the OpenAPI frontend, 0 where it is disabled. */
    public int openApiPort() {
        return openApiPort;
    }

    /** Creates the components on the event loop, which owns them; returns why that failed, or null. */
    private Exception createComponentsOnLoop() throws InterruptedException {
        CountDownLatch created = new CountDownLatch(1);
        AtomicReference<Exception> failure = new AtomicReference<>();
        loop.execute(() -> {
            try {
                createComponents();
            } catch (InvalidConfigurationException | RuntimeException e) {
                failure.set(e);
            }
            created.countDown();
        });
        created.await();
        return failure.get();
    }

    /**
     * Waits for discovery's first response, since the list in the configuration may be outdated: no request may go to
     * an endpoint that discovery reports as draining. If discovery does not respond in time, the configured list is
     * used until it does.
     */
    private void awaitEndpointList() throws InterruptedException {
        endpointsReceived.await(FIRST_DISCOVERY_RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void openPorts() throws InterruptedException {
        listen(frontends.get(0), config.listen(), "RESP2 requests");
        if (openApiSettings != null) {
            openApiPort = listen(frontends.get(1), openApiSettings.listen(), "HTTP requests");
        }
    }

    private int listen(Frontend frontend, InetSocketAddress address, String requestKind) throws InterruptedException {
        InetSocketAddress bound = frontend.listen(address);
        log.info(
                config.name() + " listens for " + requestKind + " on " + bound.getHostString() + ":" + bound.getPort());
        return bound.getPort();
    }

    private void createComponents() throws InvalidConfigurationException {
        WarmUp.run(config, loop, log);
        int endpointConnections = maxEndpointConnections();
        int clientConnections = 2 * endpointConnections;
        int httpPort = openApiSettings == null ? 0 : openApiSettings.serverPort();
        EndpointConnections connections = new EndpointConnections(
                loop, log, config.connectTimeoutMs(), config.connIdleMs(), endpointConnections, httpPort);
        counter = new CounterClient(
                loop, log, config.counter(), config.settings().counter().timeoutMs());
        requests = new RequestTable(
                config.settings(), config.seed(), loop.timers(), connections, counter, log::internalError);
        connections.start(requests);
        counter.start(requests::counterAnswered);
        endpointList = new EndpointList(
                config.zones(), EndpointStartTimes.withSystemClock(loop::now), requests::endpointsChanged, connections);
        loadCachedEndpoints();
        frontends.add(
                new PlatformFrontend(loop, log, requests, config, clientConnections, () -> !endpointList.isEmpty()));
        if (openApiSettings != null) {
            frontends.add(new OpenApiFrontend(loop, log, requests, config, openApiSettings, clientConnections));
        }
        discovery = new DiscoveryClient(loop, log, endpointList, config.settings(), config.seed());
        discovery.start(config.discovery(), endpointsReceived::countDown);
    }

    /**
     * Returns the limit on endpoint connections per protocol. Client connections get two thirds of the sockets, since
     * clients keep them open while idle. The OpenAPI frontend and HTTP connections to endpoints get the same shares
     * as the platform's frontend and RESP2 connections.
     */
    private int maxEndpointConnections() {
        int socketShares = openApiSettings == null ? 3 : 6;
        return Math.max(MIN_ENDPOINT_CONNECTIONS, (config.maxSockets() - RESERVED_SOCKETS) / socketShares);
    }

    private void loadCachedEndpoints() throws InvalidConfigurationException {
        if (config.cachedEndpoints() == null) {
            return;
        }
        try {
            endpointList.loadCached(config.cachedEndpoints());
        } catch (MalformedInputException e) {
            throw new InvalidConfigurationException("'known' in the configuration is not valid: " + e.getMessage());
        }
    }

    /** Switches to the updated addresses of discovery and the quota counter; other changes need a restart. */
    void reload(Configuration updated) {
        // Compared here, not on the event loop, which the first comparison of settings would block for long.
        boolean needsRestart = !updated.listen().equals(config.listen())
                || !updated.settings().equals(config.settings())
                || updated.maxSockets() != config.maxSockets();
        loop.execute(() -> {
            log.info("configuration reloaded");
            if (needsRestart) {
                log.info("configuration: changes to 'listen', 'limits' and 'settings' need a restart");
            }
            discovery.migrateTo(updated.discovery());
            counter.migrateTo(updated.counter());
        });
    }

    /**
     * Shuts down and returns once all requests are answered or the time limit is reached. Returns immediately if the
     * gateway does not accept clients yet, since there are no requests then.
     */
    void shutDownGracefully() {
        double signalledAt = loop.now();
        loop.execute(() -> {
            if (serving) {
                new GracefulShutdown(loop, log, requests, frontends, config.deadlinesMs(), shutdownComplete::countDown)
                        .start(signalledAt);
            } else {
                shutdownComplete.countDown();
            }
        });
        try {
            shutdownComplete.await(GracefulShutdown.MAX_DURATION_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
