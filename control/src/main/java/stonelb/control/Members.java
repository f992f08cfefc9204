package stonelb.control;

import com.google.protobuf.Message;
import com.google.protobuf.util.Durations;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.BucketId;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse.BucketAction;
import io.envoyproxy.envoy.type.v3.RateLimitStrategy;
import io.envoyproxy.envoy.type.v3.TokenBucket;
import io.grpc.Status;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntFunction;
import lichenbeam.Gateway.ListMode;
import lichenbeam.Gateway.Phase;
import lichenbeam.Gateway.Server;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonelb.config.Configuration;
import stonelb.control.quota.Assignment;
import stonelb.control.quota.BucketKey;
import stonelb.control.quota.Follower;
import stonelb.control.quota.Pressed;
import stonelb.control.quota.SharedCounter;
import stonelb.control.resources.Catalogue;
import stonelb.control.resources.Endpoint;
import stonelb.control.xds.Kind;
import stonelb.control.xds.Proxies;
import stonelb.control.xds.ResourceSet;
import stonelb.control.xds.ResourceSet.Versioned;
import stonelb.core.Timers;
import stonelb.description.Routes;
import stonelb.discovery.HostGroup;

/**
 * The proxies that follow, each with its instance of the module, and the resources that come of it. Everything here
 * happens on the event loop; it does no I/O of its own.
 */
final class Members implements HostGroup.Members, HostGroup.Places {
    private static final Logger LOG = LoggerFactory.getLogger(Members.class);

    private record Place(String name, InetSocketAddress address) { }

    private final Configuration config;
    private final ControlSettings own;
    private final Timers timers;
    private final SharedCounter counter;
    private final Pressed pressed = new Pressed();
    private final Catalogue catalogue;
    private final Proxies proxies;
    private final BucketKey.Bounds bounds;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<Long, Place> places = new HashMap<>();
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, Server> servers = new TreeMap<>();
    private Routes routes;
    private IntFunction<String> zoneNames;   // of the host group
    private Map<String, Versioned> routeResources = Map.of();
    private long seeds;

    Members(Configuration config, ControlSettings own, Timers timers, SharedCounter counter, Catalogue catalogue,
            Proxies proxies) {
        this.config = config;
        this.own = own;
        this.timers = timers;
        this.counter = counter;
        this.catalogue = catalogue;
        this.proxies = proxies;
        bounds = new BucketKey.Bounds(config.plans(), config.settings().gateways(), config.settings().largestUnits());
        seeds = config.seed();
    }

    void begin(Routes first, IntFunction<String> zoneNames) {
        routes = first;
        this.zoneNames = zoneNames;
        timers.after(Sizes.SWEEP_MS, this::sweep, 0);
        timers.after(Sizes.WEIGHTS_MS, this::weigh, 0);
    }

    /** A description that reads well takes the place of the one before, for all proxies. */
    void routes(Routes next) {
        routes = next;
        routeResources = Map.of();
        members.keySet().forEach(this::publish);
    }

    Collection<String> names() {
        return List.copyOf(members.keySet());
    }

    Member get(String node) {
        return members.get(node);
    }

    /** The proxy of that name, made where it is new. */
    Member of(String node) {
        Member m = members.get(node);
        if (m == null) {
            Follower.Terms terms = new Follower.Terms(own.horizonMs(), own.lifeMs(), own.fallbackMs());
            Member[] made = new Member[1];
            Follower f = new Follower(node, config.settings(), config.deadlinesMs(), ++seeds * 0x9e3779b97f4a7c15L, timers,
                    counter, pressed, terms, a -> assign(made[0], a), odd -> odd(made[0], odd));
            m = new Member(f);
            made[0] = m;
            members.put(node, m);
            f.servers(ListMode.CACHED, List.copyOf(servers.values()));
            LOG.info("proxy {} follows", node);
        }
        m.awaySince = Double.NaN;
        return m;
    }

    private void odd(Member m, String what) {
        if (m.odd++ % 1000 == 0) {
            LOG.warn("a report that can't be true, held to the lease: {} ({} so far)", what, m.odd);
        }
    }

    // Streams.

    void joined(String node) {
        of(node);
        publish(node);
    }

    void left(String node) {
        Member m = members.get(node);
        if (m != null && m.outbox == null && !proxies.connected(node)) {
            m.awaySince = timers.now();
        }
    }

    /** A quota stream takes the place of an older one of the same proxy. */
    void quotaStream(String node, Outbox outbox) {
        Member m = of(node);
        if (m.outbox != null) {
            m.outbox.end(Status.ABORTED.withDescription("a newer stream of this node takes its place"));
        }
        m.outbox = outbox;
        m.follower.reachable(true);
    }

    void quotaStreamEnded(String node, Outbox outbox) {
        Member m = members.get(node);
        outbox.end(Status.OK);
        if (m != null && m.outbox == outbox) {
            m.outbox = null;
            m.follower.reachable(false);
            left(node);
        }
    }

    /** Usage of a bucket; why it is refused, or null. */
    String used(String node, Map<String, String> id, long allowed, long denied, double elapsedMs) {
        Member m = of(node);
        m.reportedAt = timers.now();
        BucketKey key;
        try {
            key = BucketKey.read(id, bounds);
        } catch (BucketKey.Invalid e) {
            odd(m, node + ": " + e.getMessage());
            return e.getMessage();
        }
        if (m.follower.buckets() >= own.maxBuckets() && !m.follower.has(key)) {
            odd(m, node + ": more than " + own.maxBuckets() + " buckets");
            return "too many buckets";
        }
        return m.follower.used(key, allowed, denied, elapsedMs);
    }

    private void assign(Member m, Assignment a) {
        if (m == null || m.outbox == null) {
            return;   // away: its fallback holds, and its next report is answered anew
        }
        m.outbox.add(a, timers.now());
        if (!m.flushing) {
            m.flushing = true;
            timers.after(0, (now, t) -> {
                m.flushing = false;
                if (m.outbox != null) {
                    m.outbox.flush();
                }
            }, 0);
        }
    }

    /** An assignment on the wire: credit as a token bucket that starts full and refills by the fallback share alone. */
    BucketAction wire(Assignment a) {
        BucketAction.Builder b = BucketAction.newBuilder()
                .setBucketId(BucketId.newBuilder().putAllBucket(a.key().id()));
        if (a.drop()) {
            return b.setAbandonAction(BucketAction.AbandonAction.getDefaultInstance()).build();
        }
        RateLimitStrategy.Builder how = RateLimitStrategy.newBuilder();
        if (a.credit() <= 0) {
            how.setBlanketRule(RateLimitStrategy.BlanketRule.DENY_ALL);
        } else {
            TokenBucket slow = catalogue.share(config.settings().plans().get(a.key().plan()), a.key().cost()).getTokenBucket();
            how.setTokenBucket(slow.toBuilder().setMaxTokens((int) Math.min(Integer.MAX_VALUE, a.credit())));
        }
        return b.setQuotaAssignmentAction(BucketAction.QuotaAssignmentAction.newBuilder()
                .setAssignmentTimeToLive(Durations.fromMillis((long) a.lifeMs())).setRateLimitStrategy(how)).build();
    }

    /** A load report on a plan server, by its address as the proxy knows it. */
    void load(String node, String address, long ok, long errors, long inFlight, double totalLatencyMs, long measured) {
        Long id = numbers.get(address);
        Member m = members.get(node);
        if (id != null && m != null) {
            m.follower.load(id, ok, errors, inFlight, totalLatencyMs, measured);
        }
    }

    /** Requests issued to a tier's cluster: the classes that lead there share them. */
    void issued(String node, String cluster, long issued) {
        Member m = members.get(node);
        if (m == null || !cluster.matches(Catalogue.CLUSTER + "\\d{1,3}")) {
            return;
        }
        int tier = Integer.parseInt(cluster.substring(Catalogue.CLUSTER.length()));
        List<Integer> classes = new ArrayList<>();
        for (int c = 0; c < config.classes().size(); c++) {
            for (int p = 0; p < config.plans().size(); p++) {
                if (m.follower.tier(c, p) == tier && !classes.contains(c)) {
                    classes.add(c);
                }
            }
        }
        classes.forEach(c -> m.follower.classSeen(c, issued / classes.size()));
    }

    // The host group.

    @Override
    public void host(long server, String name, InetSocketAddress address, boolean ready, double since) {
        Place before = places.put(server, new Place(name, address));
        if (before != null) {
            numbers.remove(text(before.address()), server);
        }
        numbers.put(text(address), server);
    }

    private static String text(InetSocketAddress a) {
        return a.getHostString() + ":" + a.getPort();
    }

    @Override
    public void only(Set<Long> named) {
        places.keySet().retainAll(named);
        numbers.values().retainAll(named);
    }

    @Override
    public void servers(ListMode mode, List<Server> list) {
        if (mode != ListMode.DELTA) {
            servers.clear();
        }
        for (Server s : list) {
            if (s.phase() == Phase.GONE) {
                servers.remove(s.id());
                places.remove(s.id());
                numbers.values().remove(s.id());
            } else {
                servers.put(s.id(), s);
            }
        }
        // Drains go out in the turn in which they are heard; what the module makes of the list comes after.
        List<String> all = List.copyOf(members.keySet());
        for (String node : all) {
            members.get(node).follower.servers(mode, list);
            publish(node);
        }
    }

    int ready() {
        return (int) servers.values().stream().filter(s -> s.phase() == Phase.READY).count();
    }

    // What is handed out.

    private void publish(String node) {
        Member m = members.get(node);
        ResourceSet set = proxies.wanted(node);
        if (set.of(Kind.LISTENER).isEmpty()) {
            set = set.with(Kind.LISTENER, versioned(catalogue.listeners(node)));
        }
        if (routeResources.isEmpty()) {
            routeResources = versioned(catalogue.routes(routes, m.follower::tier));
        }
        if (set.of(Kind.ROUTES) != routeResources) {
            set = set.with(Kind.ROUTES, routeResources);
        }
        int[] slots = steady(m.slots, m.follower.slots());
        if (!Arrays.equals(slots, m.slots)) {
            m.slots = slots;
            set = set.with(Kind.CLUSTER, versioned(catalogue.clusters(slots)));
        }
        Map<Long, Integer> weights = m.follower.weights();
        List<Endpoint> endpoints = new ArrayList<>();
        for (Server s : servers.values()) {
            Place p = places.get(s.id());
            if (p != null) {
                endpoints.add(new Endpoint(p.name(), p.address().getHostString(), p.address().getPort(),
                        zoneNames.apply(s.zone()), s.phase() == Phase.DRAINING, weights.getOrDefault(s.id(), 1)));
            }
        }
        Map<String, Versioned> next = versioned(catalogue.endpoints(endpoints));
        if (!next.equals(set.of(Kind.ENDPOINTS))) {
            set = set.with(Kind.ENDPOINTS, next);
        }
        if (set != proxies.wanted(node)) {
            proxies.publish(node, set);
        }
    }

    /** Slots as last handed out where they moved by under a fifth: a circuit breaker need not follow each step of n. */
    private static int[] steady(int[] before, int[] now) {
        if (before.length != now.length) {
            return now;
        }
        for (int t = 0; t < now.length; t++) {
            if (Math.abs(now[t] - before[t]) > 0.2 * before[t]) {
                return now;
            }
        }
        return before;
    }

    private static Map<String, Versioned> versioned(Map<String, Message> messages) {
        Map<String, Versioned> all = new TreeMap<>();
        messages.forEach((name, m) -> all.put(name, Versioned.of(m)));
        return all;
    }

    // Now and then.

    private void weigh(double now, long token) {
        timers.after(Sizes.WEIGHTS_MS, this::weigh, 0);
        for (String node : List.copyOf(members.keySet())) {
            if (proxies.connected(node)) {
                publish(node);
            }
        }
    }

    private void sweep(double now, long token) {
        timers.after(Sizes.SWEEP_MS, this::sweep, 0);
        for (String node : List.copyOf(members.keySet())) {
            Member m = members.get(node);
            m.follower.sweep();
            if (m.outbox != null && m.outbox.waitedMs(now) > Sizes.STALLED_MS) {
                Outbox stalled = m.outbox;
                m.outbox = null;
                m.follower.reachable(false);
                stalled.end(Status.DEADLINE_EXCEEDED.withDescription("nothing was read for too long"));
                LOG.warn("proxy {} reads no assignments, its quota stream is ended", node);
                left(node);
            }
            // What it held is over, and what it may send without a word from here as well: nothing of it is out.
            if (now - m.awaySince > own.lifeMs() + own.fallbackMs()) {
                m.follower.close();
                members.remove(node);
                proxies.forget(node);
                LOG.info("proxy {} has been away for {} ms and is forgotten", node, (long) (now - m.awaySince));
            }
        }
    }
}
