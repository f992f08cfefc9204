package stonelb.discovery;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import stonelb.decision.DecisionSettings;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/**
 * Watches the endpoint list of the discovery service, whose address may change. The old watch then continues until the
 * new one has received the complete list, so that the list in use is updated throughout.
 */
public final class DiscoveryClient {
    private final EventLoop loop;
    private final RateLimitedLog log;
    private final EndpointList endpoints;
    private final int clientCount;
    private final SplittableRandom random;
    private DiscoveryWatch watch;

    /** A watch at the new address that has not received a list yet, or null. */
    private DiscoveryWatch replacement;

    /**
     * Creates a client that is not started.
     *
     * @param endpoints receives the lists
     * @param seed of the backoff's jitter, which should differ between gateways
     */
    public DiscoveryClient(
            EventLoop loop, RateLimitedLog log, EndpointList endpoints, DecisionSettings settings, long seed) {
        this.loop = loop;
        this.log = log;
        this.endpoints = endpoints;
        clientCount = clientCount(settings);
        random = new SplittableRandom(seed);
    }

    /**
     * How many gateways use the same discovery service. Where changes are pushed, the service is an agent on the
     * gateway's own machine, which has no other client. The long backoff that limits the load on a shared service would
     * be wrong there: a draining endpoint would get new requests for the whole backoff.
     */
    static int clientCount(DecisionSettings settings) {
        return settings.endpointsOnRequest() ? settings.gateways() : 1;
    }

    /** Starts the watch; {@code onUpdate} runs after each update from this address. */
    public void start(InetSocketAddress address, Runnable onUpdate) {
        watch = new DiscoveryWatch(loop, log, address, endpoints, endpoints.version(), clientCount, random, onUpdate);
        watch.start();
    }

    /** Migrates to the discovery service's new address. */
    public void migrateTo(InetSocketAddress newAddress) {
        if (replacement != null) {
            replacement.stop();
            replacement = null;
        }
        if (!newAddress.equals(watch.address())) {
            replacement = new DiscoveryWatch(
                    loop, log, newAddress, endpoints, DiscoveryWatch.NO_VERSION, clientCount, random, this::onMigrated);
            replacement.start();
        }
    }

    private void onMigrated() {
        if (replacement != null) {
            watch.stop();
            watch = replacement;
            replacement = null;
            log.info("discovery migrated, its endpoint list is in use");
        }
    }
}
