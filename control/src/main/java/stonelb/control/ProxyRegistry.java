package stonelb.control;

import io.grpc.Status;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonelb.config.Configuration;
import stonelb.control.quota.CounterMultiplexer;
import stonelb.control.quota.LeaseTerms;
import stonelb.control.quota.ProxyQuota;
import stonelb.control.quota.ThrottledCustomers;
import stonelb.control.xds.ProxyStreams;
import stonelb.core.TimerQueue;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.description.Routes;
import stonelb.discovery.EndpointListener;

/**
 * The proxies that use this service, from their first stream until they have been disconnected for as long as their
 * leases and the fallback quota may last. All methods run on the event loop and do no I/O of their own.
 */
final class ProxyRegistry implements EndpointListener {
    private static final Logger LOG = LoggerFactory.getLogger(ProxyRegistry.class);

    /** The golden ratio as a 64-bit fraction: distributes consecutive seeds over all bits. */
    private static final long SEED_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final Configuration configuration;
    private final ControlSettings settings;
    private final TimerQueue timers;
    private final CounterMultiplexer counter;
    private final ProxyStreams streams;
    private final EndpointDirectory directory;
    private final ResourcePublisher publisher;
    private final ThrottledCustomers throttledCustomers = new ThrottledCustomers();
    private final Map<String, RegisteredProxy> proxies = new TreeMap<>();
    private long lastSeed;

    ProxyRegistry(
            Configuration configuration,
            ControlSettings settings,
            TimerQueue timers,
            CounterMultiplexer counter,
            ProxyStreams streams,
            EndpointDirectory directory,
            ResourcePublisher publisher) {
        this.configuration = configuration;
        this.settings = settings;
        this.timers = timers;
        this.counter = counter;
        this.streams = streams;
        this.directory = directory;
        this.publisher = publisher;
        lastSeed = configuration.seed();
    }

    /** Starts the periodic sweep and the periodic update of weights. */
    void start() {
        timers.scheduleAfter(ControlLimits.SWEEP_INTERVAL_MS, this::sweep, 0);
        timers.scheduleAfter(ControlLimits.WEIGHT_UPDATE_INTERVAL_MS, this::updateWeights, 0);
    }

    /** Publishes new routes to all proxies. */
    void routesChanged(Routes routes) {
        publisher.setRoutes(routes);
        proxies.values().forEach(publisher::publish);
    }

    /** All proxies, ordered by node. */
    Collection<RegisteredProxy> proxies() {
        return List.copyOf(proxies.values());
    }

    /** The proxy of the node, or null. */
    RegisteredProxy get(String node) {
        return proxies.get(node);
    }

    /** The proxy of the node, which is registered if it is new. */
    RegisteredProxy getOrRegister(String node) {
        RegisteredProxy proxy = proxies.get(node);
        if (proxy == null) {
            proxy = register(node);
        }
        proxy.markConnected();
        return proxy;
    }

    private RegisteredProxy register(String node) {
        LeaseTerms terms = new LeaseTerms(settings.horizonMs(), settings.lifeMs(), settings.fallbackMs());
        long seed = ++lastSeed * SEED_MULTIPLIER;
        RegisteredProxy proxy = new RegisteredProxy(
                node,
                timers,
                (assignments, implausibleReports) -> new ProxyQuota(
                        node,
                        configuration.settings(),
                        configuration.deadlinesMs(),
                        seed,
                        timers,
                        counter,
                        throttledCustomers,
                        terms,
                        assignments,
                        implausibleReports));
        proxies.put(node, proxy);
        proxy.quota().endpointsChanged(EndpointListType.CACHED, directory.endpoints());
        LOG.info("proxy {} registered", node);
        return proxy;
    }

    /** Handles a new ADS stream of the node; the node's resources are published before this returns. */
    void streamOpened(String node) {
        publisher.publish(getOrRegister(node));
    }

    /** Handles the end of a stream of the node; without another stream the proxy is marked as disconnected. */
    void streamClosed(String node) {
        RegisteredProxy proxy = proxies.get(node);
        if (proxy != null && !proxy.hasQuotaStream() && !streams.isConnected(node)) {
            proxy.markDisconnected();
        }
    }

    /** Handles a new quota stream of the node; it replaces an older one. */
    void quotaStreamOpened(String node, AssignmentOutbox outbox) {
        getOrRegister(node).openQuotaStream(outbox);
    }

    /** Handles the end of a quota stream, closed by the proxy or rejected by this service. */
    void quotaStreamClosed(String node, AssignmentOutbox outbox) {
        RegisteredProxy proxy = proxies.get(node);
        outbox.close(Status.OK);
        if (proxy != null && proxy.quotaStream() == outbox) {
            proxy.removeQuotaStream();
            streamClosed(node);
        }
    }

    /**
     * Applies the change to each proxy's engine and publishes the proxy's resources, draining endpoints included, at
     * once.
     */
    @Override
    public void endpointsChanged(EndpointListType type, List<Endpoint> list) {
        directory.apply(type, list);
        for (RegisteredProxy proxy : proxies()) {
            proxy.quota().endpointsChanged(type, list);
            publisher.publish(proxy);
        }
    }

    private void updateWeights(double now, long token) {
        timers.scheduleAfter(ControlLimits.WEIGHT_UPDATE_INTERVAL_MS, this::updateWeights, 0);
        for (RegisteredProxy proxy : proxies()) {
            if (streams.isConnected(proxy.node())) {
                publisher.publish(proxy);
            }
        }
    }

    private void sweep(double now, long token) {
        timers.scheduleAfter(ControlLimits.SWEEP_INTERVAL_MS, this::sweep, 0);
        for (RegisteredProxy proxy : proxies()) {
            proxy.quota().removeIdle();
            closeStalledQuotaStream(proxy, now);
            removeIfExpired(proxy, now);
        }
    }

    private void closeStalledQuotaStream(RegisteredProxy proxy, double now) {
        AssignmentOutbox outbox = proxy.quotaStream();
        if (outbox == null || outbox.oldestPendingMs(now) <= ControlLimits.STALL_TIMEOUT_MS) {
            return;
        }
        proxy.removeQuotaStream();
        outbox.close(Status.DEADLINE_EXCEEDED.withDescription("nothing was read for too long"));
        LOG.warn("proxy {} reads no assignments, closing its quota stream", proxy.node());
        streamClosed(proxy.node());
    }

    /** Removes a proxy whose leases and fallback quota have expired: it can have no requests in flight. */
    private void removeIfExpired(RegisteredProxy proxy, double now) {
        double disconnectedMs = proxy.disconnectedMs(now);
        if (disconnectedMs > settings.lifeMs() + settings.fallbackMs()) {
            proxy.quota().close();
            proxies.remove(proxy.node());
            streams.remove(proxy.node());
            LOG.info("proxy {} disconnected for {} ms, registration removed", proxy.node(), (long) disconnectedMs);
        }
    }
}
