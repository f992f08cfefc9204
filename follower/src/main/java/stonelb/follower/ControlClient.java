package stonelb.follower;

import com.google.protobuf.Any;
import io.grpc.ManagedChannel;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A proxy's connection to the control service. It receives resources and quota assignments, decides on requests and
 * reports usage and load. All of its state is confined to one executor thread; its methods are thread-safe unless
 * stated otherwise.
 */
public final class ControlClient implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(ControlClient.class.getName());
    private static final long TICK_INTERVAL_MS = 5;
    private static final int MICROS_PER_MILLI = 1000;

    private final ScheduledExecutorService executor;
    private final ManagedChannel channel;
    private final QuotaTable quotas = new QuotaTable();
    private final ProxyResources resources;
    private final AdsSession adsSession;
    private final RequestRouter router;
    private final QuotaStream quotaStream;
    private final LoadReportStream loadReportStream;
    private final List<Runnable> resourceListeners = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    /**
     * Creates a client; {@link #start} connects it.
     *
     * @param options address of the control service and node id of the proxy
     * @throws IOException if a TLS file can't be read
     */
    public ControlClient(ClientOptions options) throws IOException {
        SplittableRandom random = new SplittableRandom(options.node().hashCode());
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "control-client " + options.node());
            thread.setDaemon(true);
            return thread;
        });
        channel = ControlChannel.open(options, executor);
        resources = new ProxyResources(new ResourceChanges());
        router = new RequestRouter(resources, quotas, options.maxQuotaWaitMs(), this::sendUrgentReports);
        AdsVariant variant = options.incremental()
                ? new IncrementalVariant(options.node())
                : new StateOfTheWorldVariant(options.node());
        adsSession =
                new AdsSession(channel, variant, this::schedule, new ReconnectBackoff(random), this::applyResources);
        quotaStream = new QuotaStream(
                channel, quotas, resources::quotaFilter, new ReconnectBackoff(random), router::retryWaitingRequests);
        loadReportStream =
                new LoadReportStream(channel, options.node(), resources.pools().values(), random);
    }

    private final class ResourceChanges implements ProxyResources.ChangeListener {
        @Override
        public void subscriptionChanged(ResourceType type, Collection<String> names) {
            adsSession.subscribe(type, names);
        }

        @Override
        public void quotaFilterChanged() {
            if (!closed) {
                quotaStream.connect();
            }
        }
    }

    private void applyResources(ResourceType type, Map<String, Any> accepted) throws InvalidResourceException {
        resources.apply(type, accepted);
        resourceListeners.forEach(Runnable::run);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // tasks are never cancelled individually
    private void schedule(Runnable task, double delayMs) {
        try {
            executor.schedule(unlessClosed(task), (long) (delayMs * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            // The client was closed concurrently.
        }
    }

    private Runnable unlessClosed(Runnable task) {
        return () -> {
            if (!closed) {
                runAndLogFailure(task);
            }
        };
    }

    /** Runs a task and logs its exception, which would otherwise end the periodic task or the calling stream. */
    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a task or callback of the control client failed", e);
        }
    }

    /** Adds a listener that is called on the executor thread after resources have been applied. */
    public void addResourceListener(Runnable listener) {
        resourceListeners.add(listener);
    }

    /** Connects to the control service. */
    @SuppressWarnings("FutureReturnValueIgnored") // the periodic task ends with the executor
    public void start() {
        executor.execute(adsSession::connect);
        executor.scheduleAtFixedRate(
                unlessClosed(this::tick), TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        double nowMs = MonotonicClock.nowMs();
        quotaStream.reconnectIfDue(nowMs);
        quotaStream.sendDueReports(nowMs);
        router.retryWaitingRequests(nowMs);
        loadReportStream.sendReportIfDue(nowMs);
    }

    /**
     * Decides on a request.
     *
     * @param request the request
     * @param callback receives the decision once, on the executor thread, within
     *     {@link ClientOptions#maxQuotaWaitMs}
     */
    public void decide(ProxyRequest request, Consumer<RoutingDecision> callback) {
        execute(() -> router.decide(request, decision -> runAndLogFailure(() -> callback.accept(decision))));
    }

    private void sendUrgentReports(double nowMs) {
        if (quotas.hasUrgentReport(nowMs)) {
            quotaStream.sendDueReports(nowMs);
        }
    }

    /** Runs a task on the executor thread, to which the pools are confined; does nothing once the client is closed. */
    public void execute(Runnable task) {
        try {
            executor.execute(unlessClosed(task));
        } catch (RejectedExecutionException e) {
            // The client was closed concurrently.
        }
    }

    /** Reads the state on the executor thread and passes it to the callback there. */
    public void state(Consumer<ClientState> callback) {
        execute(() -> callback.accept(new ClientState(
                adsSession.versions(),
                quotas.size(),
                quotaStream.reportCount(),
                quotaStream.actionCount(),
                adsSession.isConnected())));
    }

    /** Whether there are routes and an endpoint that accepts requests. */
    public boolean isReady() {
        return resources.isReady();
    }

    /** A live view of the pools by cluster name. Other threads may call only {@link EndpointPool#endpoints} on a pool. */
    public Map<String, EndpointPool> pools() {
        return resources.pools();
    }

    /** Closes immediately: streams are cancelled, and leases are not returned. */
    @Override
    public void close() {
        closed = true;
        channel.shutdownNow();
        executor.shutdownNow();
    }
}
