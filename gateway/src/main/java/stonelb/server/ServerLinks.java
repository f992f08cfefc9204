package stonelb.server;

import io.netty.channel.ChannelFutureListener;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import lichenbeam.Gateway.Outcome;
import stonelb.core.Attempt;
import stonelb.core.Core;
import stonelb.core.Ports;
import stonelb.core.Reply;
import stonelb.core.Timers;
import stonelb.discovery.HostGroup;
import stonelb.io.Log;
import stonelb.io.Loop;

/** All server links: a pool for each plan server and protocol. */
public final class ServerLinks implements Ports.Servers, HostGroup.Places, Timers.Due {
    private static final double SWEEP_MS = 1000;   // or a tenth of the idle time, if that is less
    private static final double RETIRE = 0.8;   // of the time after which a plan server closes an idle link

    private static final double KEEP_MS = 2000;          // links too old to be sure of, for reads
    private static final double LEAST_TRUST_MS = 5;      // under the time that a link rests: none is used again
    private static final double TRUST_DOUBLES_MS = 2000;

    private static final double LATE_MS = 50;   // since the loop looked at its links; a client may have gone for 100 ms

    private static final class Host {
        String name;
        InetSocketAddress address;
        boolean leaving;
        double since;
        final Pool[] pools = new Pool[Outbound.Kind.values().length];
    }

    private final Loop loop;
    private final Log log;
    private final int connectTimeoutMs;
    private final double idleMs;
    private final int sockets;
    private final int httpPort;
    private final Map<Long, Host> hosts = new HashMap<>();
    private Core core;
    private int links;   // up or coming up, to all plan servers
    private double trustMs;   // how long links may idle and still be good, as seen at trustAt
    private double trustAt;

    /** {@code sockets} bounds the links to all plan servers in one protocol; {@code httpPort} is 0 where HTTP is not spoken. */
    public ServerLinks(Loop loop, Log log, int connectTimeoutMs, double idleMs, int sockets, int httpPort) {
        this.loop = loop;
        this.log = log;
        this.connectTimeoutMs = connectTimeoutMs;
        this.idleMs = idleMs;
        trustMs = RETIRE * idleMs;
        this.sockets = sockets;
        this.httpPort = httpPort;
    }

    public void begin(Core core) {
        this.core = core;
        loop.timers().after(Math.min(SWEEP_MS, idleMs / 10), this, 0);
    }

    /** Where a plan server of the host group listens, whether it takes new work, and when it started. */
    @Override
    public void host(long server, String name, InetSocketAddress address, boolean ready, double since) {
        Host h = hosts.computeIfAbsent(server, k -> new Host());
        // Guards against links to the process before: a machine that vanished has not reset them.
        boolean fresh = since > h.since;
        h.since = since;
        h.name = name;
        h.address = address;
        h.leaving = !ready;
        for (Outbound.Kind kind : Outbound.Kind.values()) {
            Pool pool = h.pools[kind.ordinal()];
            if (pool != null) {
                pool.moved(at(h, kind), fresh);
                if (!ready) {
                    pool.closeIdle(Double.MAX_VALUE);
                }
            }
        }
    }

    /** Of the host group, only these are left. */
    @Override
    public void only(Set<Long> named) {
        hosts.forEach((server, h) -> {
            if (!named.contains(server)) {
                host(server, h.name, h.address, false, h.since);
            }
        });
    }

    private InetSocketAddress at(Host h, Outbound.Kind kind) {
        return kind == Outbound.Kind.RESP ? h.address
                : new InetSocketAddress(h.address.getAddress(), httpPort);
    }

    /**
     * Guards against an attempt for a client that has gone while the loop was busy: its end is read first, and the
     * attempt begins only if it is still wanted.
     */
    @Override
    public void start(Attempt a) {
        if (late()) {
            loop.timers().after(0, (now, token) -> startIfWanted(a), 0);
        } else {
            begin(a);
        }
    }

    private void startIfWanted(Attempt a) {
        if (!core.mayWrite(a)) {
            core.ended(a, Outcome.MOOT, null);
        } else {
            start(a);
        }
    }

    /** Whether the loop has been busy for so long that the end of a client's link may wait unread. */
    boolean late() {
        return loop.now() - loop.lookedAt() > LATE_MS;
    }

    private void begin(Attempt a) {
        Host h = hosts.get(a.server());
        Outbound.Kind kind = ((Outbound) a.query()).kind();
        Pool pool = h.pools[kind.ordinal()];
        if (pool == null) {
            pool = new Pool(this, kind, h.name, at(h, kind));
            h.pools[kind.ordinal()] = pool;
        }
        pool.start(a);
    }

    @Override
    public boolean stop(Attempt a) {
        Host h = hosts.get(a.server());
        Pool pool = h == null ? null : h.pools[((Outbound) a.query()).kind().ordinal()];
        return pool != null && pool.stop(a);   // none: it waits for the loop
    }

    /** Guards against a write to a link that the plan server closes at that moment, which ends as a reset. */
    @Override
    public void due(double now, long token) {
        loop.timers().after(Math.min(SWEEP_MS, idleMs / 10), this, 0);
        for (Host h : hosts.values()) {
            for (Pool pool : h.pools) {
                if (pool != null) {
                    pool.closeIdle(h.leaving ? Double.MAX_VALUE : now - Math.min(RETIRE * idleMs, Math.max(KEEP_MS, trustMs())));
                }
            }
        }
        hosts.values().removeIf(h -> h.leaving && empty(h));
    }

    private static boolean empty(Host h) {
        for (Pool pool : h.pools) {
            if (pool != null && !pool.empty()) {
                return false;
            }
        }
        return true;
    }

    /**
     * How long a link may have idled and still be used for what may not be repeated. Guards against plan servers, or what stands between, that
     * forget links long before the settings say: a request that may not be repeated is spoilt by each of them. Every
     * such end lowers the bound below the time it had idled; it doubles in two seconds without one.
     */
    double trustMs() {
        double grown = trustMs * Math.pow(2, Math.min(60, (loop.now() - trustAt) / TRUST_DOUBLES_MS));
        return Math.min(RETIRE * idleMs, grown);
    }

    void stale(double idledMs) {
        trustMs = Math.max(LEAST_TRUST_MS, 0.7 * Math.min(idledMs, trustMs()));
        trustAt = loop.now();
    }

    double now() {
        return loop.now();
    }

    void after(double ms, Timers.Due due) {
        loop.timers().after(ms, due, 0);
    }

    Log log() {
        return log;
    }

    void counts(int more) {
        links += more;
    }

    /**
     * Whether one more link may be opened: at the bound, the one that has idled for longest ends for it. Guards against
     * links to hundreds of plan servers that take the descriptors of discovery and the counter.
     */
    boolean room() {
        if (links < sockets) {
            return true;
        }
        Pool from = null;
        ServerLink oldest = null;
        for (Host h : hosts.values()) {
            for (Pool pool : h.pools) {
                ServerLink link = pool == null ? null : pool.oldestIdle();
                if (link != null && (oldest == null || link.idleSince() < oldest.idleSince())) {
                    from = pool;
                    oldest = link;
                }
            }
        }
        if (oldest != null) {
            from.evict(oldest);
        }
        return oldest != null;
    }

    /** The most links to one plan server. */
    int mostLinks() {
        return Math.max(4, sockets / Math.max(1, hosts.size()));
    }

    void connect(InetSocketAddress to, ServerLink link, ChannelFutureListener onResult) {
        loop.connect(to, connectTimeoutMs, link, onResult);
    }

    boolean mayWrite(Attempt a) {
        return core.mayWrite(a);
    }

    void ended(Attempt a, Outcome how, Reply reply) {
        core.ended(a, how, reply);
    }
}
