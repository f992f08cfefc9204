package stonelb;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import stonelb.config.Configuration;
import stonelb.core.Core;
import stonelb.counter.CounterCalls;
import stonelb.discovery.Discovery;
import stonelb.discovery.HostGroup;
import stonelb.front.Front;
import stonelb.io.Log;
import stonelb.io.Loop;
import stonelb.io.Malformed;
import stonelb.openapi.OpenApiFront;
import stonelb.openapi.OpenApiSettings;
import stonelb.platform.PlatformFront;
import stonelb.server.ServerLinks;

/** Wires the parts of a gateway together, starts them, and hands over at a planned restart. */
public final class Server {
    private static final int LIST_MS = 400;         // for discovery's first answer, before the first client
    private static final int SPARE_SOCKETS = 48;    // of files, discovery, the counter and the loop

    private final Configuration config;
    private final OpenApiSettings openApi;   // null: that front is off
    private final Log log = new Log();
    private final Loop loop = new Loop(log);
    private final CountDownLatch over = new CountDownLatch(1);
    private final CountDownLatch listed = new CountDownLatch(1);
    private Core core;
    private HostGroup group;
    private Discovery discovery;
    private CounterCalls counter;
    private final List<Front> fronts = new ArrayList<>();
    private boolean serves;
    private int openApiPort;

    public Server(Configuration config, OpenApiSettings openApi) {
        this.config = config;
        this.openApi = openApi;
    }

    public void start() throws IOException, Configuration.Invalid {
        CountDownLatch done = new CountDownLatch(1);
        Exception[] failed = new Exception[1];
        // Client links get two parts of three, since clients keep theirs idle; each front and protocol the same.
        int part = Math.max(8, (config.sockets() - SPARE_SOCKETS) / (openApi == null ? 3 : 6));
        loop.execute(() -> {
            try {
                wire(part);
            } catch (Configuration.Invalid | RuntimeException e) {
                failed[0] = e;
            }
            done.countDown();
        });
        try {
            done.await();
            if (failed[0] == null) {
                // Guards against work for a plan server that drains: what discovery has counts as told from the start
                // on, and the list in the configuration may be old. It serves until a silent discovery answers.
                listed.await(LIST_MS, TimeUnit.MILLISECONDS);
                loop.execute(() -> serves = true);   // before the first query can come, or SIGTERM would lose it
                listen(fronts.get(0), config.listen(), "the platform");
                if (openApi != null) {
                    openApiPort = listen(fronts.get(1), openApi.listen(), "OpenAPI routes");
                }
            }
        } catch (Exception e) {   // a bind fails with an exception that its signature hides
            failed[0] = e;
            loop.execute(() -> serves = false);
        }
        if (failed[0] instanceof Configuration.Invalid invalid) {
            throw invalid;
        }
        if (failed[0] != null) {
            throw new IOException(failed[0].getMessage(), failed[0]);
        }
    }

    /** Where the OpenAPI front listens, 0 where it is off. */
    public int openApiPort() {
        return openApiPort;
    }

    private int listen(Front front, InetSocketAddress at, String what) throws InterruptedException {
        InetSocketAddress bound = front.listen(at);
        log.say(config.name() + " serves " + what + " on " + bound.getHostString() + ":" + bound.getPort());
        return bound.getPort();
    }

    private void wire(int part) throws Configuration.Invalid {
        WarmUp.play(config, loop, log);
        ServerLinks links = new ServerLinks(loop, log, config.connectTimeoutMs(), config.connIdleMs(), part,
                openApi == null ? 0 : openApi.serverPort());
        counter = new CounterCalls(loop, log, config.counter(), config.settings().counter().waitMs());
        core = new Core(config.settings(), config.seed(), loop.timers(), links, counter,
                e -> log.warn("internal error", e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?")));
        links.begin(core);
        counter.begin(core::counted);
        group = new HostGroup(config.zones(), core::servers, links);
        if (config.known() != null) {
            try {
                group.known(config.known());
            } catch (Malformed e) {
                throw new Configuration.Invalid("'known' in the configuration is not valid: " + e.getMessage());
            }
        }
        fronts.add(new PlatformFront(loop, log, core, config, 2 * part, () -> !group.isEmpty()));
        if (openApi != null) {
            fronts.add(new OpenApiFront(loop, log, core, config, openApi, 2 * part));
        }
        discovery = new Discovery(loop, log, group, config.settings(), config.seed());
        discovery.begin(config.discovery(), listed::countDown);
    }

    /** SIGHUP: takes over where discovery and the counter are; all else of a configuration needs a start. */
    void reload(Configuration now) {
        // Guards against a loop that stands still: to compare settings for the first time takes long.
        boolean more = !now.listen().equals(config.listen()) || !now.settings().equals(config.settings())
                || now.sockets() != config.sockets();
        loop.execute(() -> {
            log.say("configuration read again");
            if (more) {
                log.say("configuration: of what changed, 'listen', 'limits' and 'settings' need a restart");
            }
            discovery.move(now.discovery());
            counter.move(now.counter());
        });
    }

    /** SIGTERM. Before the start is over nobody has been served, and there is nothing to hand over. */
    void handOver() {
        double asked = loop.now();
        loop.execute(() -> {
            if (serves) {
                new HandOver(loop, log, core, fronts, config.deadlinesMs(), over::countDown).begin(asked);
            } else {
                over.countDown();
            }
        });
        try {
            over.await(HandOver.MOST_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
