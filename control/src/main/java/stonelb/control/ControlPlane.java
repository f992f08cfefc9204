package stonelb.control;

import com.google.protobuf.Struct;
import io.envoyproxy.controlplane.server.V3DiscoveryServer;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.grpc.BindableService;
import io.grpc.ServerInterceptors;
import io.grpc.ServerServiceDefinition;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.control.quota.CounterMultiplexer;
import stonelb.control.resources.ResourceFactory;
import stonelb.control.resources.ResourceOptions;
import stonelb.control.xds.AdsServer;
import stonelb.control.xds.ProxyStreams;
import stonelb.control.xds.StreamLimits;
import stonelb.control.xds.StreamListener;
import stonelb.counter.CounterClient;
import stonelb.description.Routes;
import stonelb.discovery.DiscoveryClient;
import stonelb.discovery.EndpointList;
import stonelb.discovery.EndpointStartTimes;
import stonelb.io.EventLoop;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/**
 * The state that the control service keeps on its event loop: the registered proxies, their streams and resources, and
 * the connections to discovery and to the quota counter. Only to be called on that loop.
 */
final class ControlPlane {
    private static final double USAGE_REPORTS_PER_LOAD_REPORT = 2;

    private final Configuration configuration;
    private final ControlSettings settings;
    private final EventLoop loop;
    private final ProxyStreams streams = new ProxyStreams();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final CounterMultiplexer counter;
    private final AssignmentEncoder encoder;
    private final ProxyRegistry registry;
    private final ProxyReports reports;
    private final AdsServer ads;

    /** Creates the control plane and starts its timers and its connections. */
    ControlPlane(
            Configuration configuration, ControlSettings settings, Routes routes, EventLoop loop, RateLimitedLog log)
            throws InvalidConfigurationException {
        this.configuration = configuration;
        this.settings = settings;
        this.loop = loop;
        CounterClient counterClient = new CounterClient(
                loop,
                log,
                configuration.counter(),
                configuration.settings().counter().timeoutMs());
        counter = new CounterMultiplexer(counterClient);
        ResourceFactory resources = resourceFactory();
        ResourcePublisher publisher = new ResourcePublisher(resources, streams, directory);
        publisher.setRoutes(routes);
        registry = new ProxyRegistry(configuration, settings, loop.timers(), counter, streams, directory, publisher);
        reports = new ProxyReports(configuration, registry, directory, settings.maxBuckets());
        encoder = new AssignmentEncoder(configuration.settings(), resources);
        counterClient.start((name, outcome, latencyMs, total) ->
                counter.counterAnswered(loop.now(), name, outcome, latencyMs, total));
        EndpointList endpoints = endpointList();
        registry.start();
        ads = new AdsServer(streams, streamLimits(), loop::now, new RegistryStreamListener());
        loop.timers().scheduleAfter(ControlLimits.SWEEP_INTERVAL_MS, this::sweep, 0);
        new DiscoveryClient(loop, log, endpoints, configuration.settings(), configuration.seed())
                .start(configuration.discovery(), () -> {});
    }

    private ResourceFactory resourceFactory() {
        return new ResourceFactory(
                configuration.settings(),
                configuration.classes(),
                configuration.deadlinesMs(),
                configuration.plans(),
                configuration.connectTimeoutMs(),
                new ResourceOptions(settings.reportMs(), settings.fallbackMs(), settings.grpcListener()));
    }

    private StreamLimits streamLimits() {
        return new StreamLimits(
                settings.maxStreams(), ControlLimits.MAX_RESOURCE_NAMES, ControlLimits.STALL_TIMEOUT_MS);
    }

    /** The endpoint list, initialized from the configuration if that contains a cached one. */
    private EndpointList endpointList() throws InvalidConfigurationException {
        EndpointList endpoints = new EndpointList(
                configuration.zones(), EndpointStartTimes.withSystemClock(loop::now), registry, directory);
        directory.setZoneNames(endpoints::zoneName);
        if (configuration.cachedEndpoints() != null) {
            try {
                endpoints.loadCached(configuration.cachedEndpoints());
            } catch (MalformedInputException e) {
                throw new InvalidConfigurationException("'known' in the configuration is not valid: " + e.getMessage());
            }
        }
        return endpoints;
    }

    /** Informs the registry when a proxy opens or closes an ADS stream. */
    private final class RegistryStreamListener implements StreamListener {
        @Override
        public void streamOpened(Node node) {
            registry.streamOpened(node.getId());
        }

        @Override
        public void streamClosed(String node) {
            registry.streamClosed(node);
        }
    }

    private void sweep(double now, long token) {
        loop.timers().scheduleAfter(ControlLimits.SWEEP_INTERVAL_MS, this::sweep, 0);
        ads.closeStalledStreams();
    }

    /** Publishes new routes to all proxies. */
    void routesChanged(Routes routes) {
        registry.routesChanged(routes);
    }

    /** The gRPC services that proxies call: ADS, RLQS and LRS. */
    List<ServerServiceDefinition> services() {
        V3DiscoveryServer discovery = new V3DiscoveryServer(ads.watcher());
        double loadReportIntervalMs = USAGE_REPORTS_PER_LOAD_REPORT * settings.reportMs();
        return List.of(
                ServerInterceptors.intercept(discovery.getAggregatedDiscoveryServiceImpl(), ads.interceptor()),
                withNodeIdentity(new RateLimitQuotaService(registry, reports, encoder)),
                withNodeIdentity(new LoadReportingService(reports, loadReportIntervalMs)));
    }

    private static ServerServiceDefinition withNodeIdentity(BindableService service) {
        return ServerInterceptors.intercept(service, new NodeIdentityInterceptor());
    }

    /** Unused units of unexpired leases, by customer. */
    Map<Long, Double> leasedUnits() {
        Map<Long, Double> units = new HashMap<>();
        for (RegisteredProxy proxy : registry.proxies()) {
            proxy.quota()
                    .bucketStatuses()
                    .forEach(bucket -> units.merge(
                            bucket.key().customer(),
                            bucket.outstandingCredit() * bucket.key().cost(),
                            Double::sum));
        }
        return units;
    }

    /** The complete state, as {@code control status} shows it. */
    Struct status(double startedAt) {
        double now = loop.now();
        List<Struct> proxies = registry.proxies().stream()
                .map(proxy -> StatusReport.proxy(proxy, streams.streamStatuses(proxy.node()), now))
                .toList();
        return Struct.newBuilder()
                .putFields("name", StatusReport.text(configuration.name()))
                .putFields("upMs", StatusReport.number(Math.rint(now - startedAt)))
                .putFields("streams", StatusReport.number(ads.openStreams()))
                .putFields("streamsRefused", StatusReport.number(ads.rejectedStreams()))
                .putFields("planServers", StatusReport.number(directory.readyCount()))
                .putFields("counterCallsOpen", StatusReport.number(counter.openCalls()))
                .putFields("proxies", StatusReport.list(proxies))
                .build();
    }
}
