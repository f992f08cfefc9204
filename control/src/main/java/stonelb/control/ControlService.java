package stonelb.control;

import com.google.protobuf.Struct;
import io.grpc.InsecureServerCredentials;
import io.grpc.Server;
import io.grpc.ServerCredentials;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.description.DescriptionFile;
import stonelb.description.InvalidDescriptionException;
import stonelb.description.Routes;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/**
 * The control service: sends the engine's decisions to proxies over xDS. One event loop owns all state; gRPC's threads
 * only do I/O and pass every message to that loop.
 */
public final class ControlService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControlService.class);
    private static final long KEEP_ALIVE_INTERVAL_S = 30;
    private static final long KEEP_ALIVE_TIMEOUT_S = 10;
    private static final long MIN_CLIENT_KEEP_ALIVE_INTERVAL_S = 5;
    private static final long TERMINATION_TIMEOUT_S = 2;
    private static final long READ_TIMEOUT_S = 1;

    private final Configuration configuration;
    private final ControlSettings settings;
    private final RateLimitedLog log = new RateLimitedLog(line -> LOG.info("{}", line));
    private final EventLoop loop = new EventLoop(log);
    private final double startedAt = loop.now();
    private ControlPlane controlPlane;
    private Server server;
    private TlsCredentials tlsCredentials;

    /** Creates a service that is not started yet; the configuration is that of a gateway. */
    public ControlService(Configuration configuration, ControlSettings settings) {
        this.configuration = configuration;
        this.settings = settings;
    }

    /**
     * Loads the description and the certificates, and starts to listen.
     *
     * @throws InvalidConfigurationException where the configuration, the description or a certificate is not valid
     * @throws IOException if the service can't listen on the address
     */
    public void start() throws InvalidConfigurationException, IOException {
        DescriptionFile description = new DescriptionFile(
                settings.description(), configuration.classes(), configuration.settings(), loop, log);
        Routes routes = load(description);
        ServerCredentials credentials = serverCredentials();
        controlPlane = createOnLoop(routes);
        description.watch(settings.reloadMs(), controlPlane::routesChanged);
        server = buildServer(credentials);
        listen();
        LOG.info(
                "control service {} listens for xDS on {}:{}",
                configuration.name(),
                settings.listen().getHostString(),
                port());
    }

    private Routes load(DescriptionFile description) throws InvalidConfigurationException {
        try {
            return description.load();
        } catch (InvalidDescriptionException e) {
            throw new InvalidConfigurationException(
                    "the description " + settings.description() + " is rejected: " + e.getMessage());
        }
    }

    private ServerCredentials serverCredentials() throws InvalidConfigurationException {
        if (settings.tls() == null) {
            return InsecureServerCredentials.create();
        }
        tlsCredentials = new TlsCredentials(settings.tls());
        return tlsCredentials.serverCredentials();
    }

    private ControlPlane createOnLoop(Routes routes) throws InvalidConfigurationException, IOException {
        CompletableFuture<ControlPlane> created = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                created.complete(new ControlPlane(configuration, settings, routes, loop, log));
            } catch (InvalidConfigurationException | RuntimeException e) {
                created.completeExceptionally(e);
            }
        });
        try {
            return created.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof InvalidConfigurationException invalid) {
                throw invalid;
            }
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private Server buildServer(ServerCredentials credentials) {
        return NettyServerBuilder.forAddress(settings.listen(), credentials)
                .executor(this::executeOnLoop)
                .maxInboundMessageSize(ControlLimits.MAX_MESSAGE_BYTES)
                .maxInboundMetadataSize(ControlLimits.MAX_METADATA_BYTES)
                .keepAliveTime(KEEP_ALIVE_INTERVAL_S, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_S, TimeUnit.SECONDS)
                .permitKeepAliveTime(MIN_CLIENT_KEEP_ALIVE_INTERVAL_S, TimeUnit.SECONDS)
                .permitKeepAliveWithoutCalls(true)
                .addServices(controlPlane.services())
                .addService(new StatusService(this::status))
                .build();
    }

    private void listen() throws IOException {
        try {
            server.start();
        } catch (IOException e) {
            InetSocketAddress address = settings.listen();
            String reason = e.getCause() == null ? e.getMessage() : e.getCause().getMessage();
            throw new IOException(
                    "can't listen on " + address.getHostString() + ":" + address.getPort() + ": " + reason, e);
        }
    }

    /** Runs a gRPC task on the event loop; a task submitted after the loop was shut down is dropped. */
    private void executeOnLoop(Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("task rejected after shutdown", e);
        }
    }

    /** The port that the service listens on, once it is started. */
    public int port() {
        return server.getPort();
    }

    /** Unused units of unexpired leases, by customer; empty if the event loop does not answer in time. */
    public Map<Long, Double> leasedUnits() {
        CompletableFuture<Map<Long, Double>> units = new CompletableFuture<>();
        loop.execute(() -> units.complete(controlPlane.leasedUnits()));
        return units.completeOnTimeout(Map.of(), READ_TIMEOUT_S, TimeUnit.SECONDS)
                .join();
    }

    private Struct status() {
        return controlPlane.status(startedAt);
    }

    /** Shuts down without draining, as a crash would: proxies continue with their current assignments and resources. */
    @Override
    public void close() {
        if (server != null) {
            server.shutdownNow();
            awaitTermination();
        }
        if (tlsCredentials != null) {
            tlsCredentials.close();
        }
        loop.shutdown();
    }

    private void awaitTermination() {
        try {
            server.awaitTermination(TERMINATION_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
