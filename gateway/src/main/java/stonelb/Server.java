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
    private static final double LONGEST_MS = 3000;  // after SIGTERM: no deadline counts for longer
    private static final double LEAVE_MS = 500;     // before that each link begins to end with its next answer,
    private static final double IDLE_MS = 100;      // and before that those on which nothing is asked
    private static final double ANSWER_MS = 250;    // over that: all is answered by then, well before SIGKILL
    private static final double STEP_MS = 2;        // in which the loop reads what has come
    private static final int SPARE_SOCKETS = 48;    // of files, discovery, the counter and the loop

    private final Configuration config;
    private final OpenApiSettings openApi;   // null: that front is off
    private final Log log = new Log();
    private final Loop loop = new Loop(log);
    private final CountDownLatch over = new CountDownLatch(1);
    private Core core;
    private HostGroup group;
    private Discovery discovery;
    private CounterCalls counter;
    private final List<Front> fronts = new ArrayList<>();
    private boolean serves;
    private boolean answered;
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
                listen(fronts.get(0), config.listen(), "the platform");
                if (openApi != null) {
                    openApiPort = listen(fronts.get(1), openApi.listen(), "OpenAPI routes");
                }
                loop.execute(() -> serves = true);
            }
        } catch (Exception e) {   // a bind fails with an exception that its signature hides
            failed[0] = e;
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
        discovery.begin(config.discovery());
    }

    /** SIGHUP: takes over where discovery and the counter are; all else of a configuration needs a start. */
    void reload(Configuration now) {
        loop.execute(() -> {
            log.say("configuration read again");
            if (!now.listen().equals(config.listen()) || !now.settings().equals(config.settings())
                    || now.sockets() != config.sockets()) {
                log.say("configuration: of what changed, 'listen', 'limits' and 'settings' need a restart");
            }
            discovery.move(now.discovery());
            counter.move(now.counter());
        });
    }

    /**
     * SIGTERM: goes on serving on the links that there are, since clients led elsewhere at once would find the others
     * full; then ends the links, answers all it has taken, and ends itself before it is killed. Before the start is
     * over nobody has been served, and there is nothing to hand over.
     */
    void handOver() {
        loop.execute(() -> {
            if (!serves) {
                over.countDown();
                return;
            }
            log.say("hand-over begins, " + core.open() + " queries open");
            double began = loop.now();
            loop.timers().after(longestMs() - LEAVE_MS, (now, token) -> fronts.forEach(Front::leave), 0);
            loop.timers().after(longestMs() - IDLE_MS, (now, token) -> end(began), 0);
        });
        try {
            over.await((long) (LONGEST_MS + 2 * ANSWER_MS), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** How long the longest query may still be out. */
    private double longestMs() {
        return Math.min(LONGEST_MS, config.deadlinesMs().stream().mapToDouble(d -> d).max().orElse(LONGEST_MS));
    }

    private void end(double began) {
        boolean late = loop.now() - began > longestMs() + ANSWER_MS;
        if (late && !answered) {
            answered = true;
            log.say("hand-over: " + core.open() + " queries are answered unserved");
            core.finishAll();
        }
        fronts.forEach(f -> f.finishIdle(late));
        if (fronts.stream().allMatch(Front::empty)) {
            log.say("hand-over done");
            over.countDown();
        } else {
            loop.timers().after(STEP_MS, (now, token) -> end(began), 0);
        }
    }
}
