package stonelb;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import lichenbeam.Gateway.Phase;
import lichenbeam.Gateway.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import stonelb.discovery.Discovery;
import stonelb.discovery.HostGroup;
import stonelb.io.Log;
import stonelb.io.Loop;
import stonelb.standins.Peer;

/**
 * A change that discovery has, and could be reached for, counts as told 6 s later, whatever became of the calls. Played
 * on a clock that the test moves in small steps, so that all time-outs and pauses of the watch pass in a moment.
 */
class ToldTest {
    private static final double TOLD_MS = 6000;
    private static final double STEP_MS = 25;
    private static final int FLEET = 200;

    /** What becomes of a call. */
    private enum Fate { SILENT, HALF, DRIPS, RESET, REFUSED, UNKNOWN, GARBAGE, TWICE }

    private volatile double clock = 1_000_000;
    private volatile boolean drains;   // the change
    private final Deque<Fate> fates = new ArrayDeque<>();   // of the next calls that may wait; then all is well
    private final Queue<Integer> calls = new ConcurrentLinkedQueue<>();   // how many are left to fail
    private final Queue<Phase> told = new ConcurrentLinkedQueue<>();
    private final Semaphore events = new Semaphore(0);
    private Loop loop;

    @AfterEach
    void stop() {
        loop.end();
    }

    private String list() {
        return "{\"index\":" + (drains ? 2 : 1) + ",\"snapshot\":true,\"endpoints\":[{\"name\":\"s\",\"address\":"
                + "\"127.0.0.1:1\",\"status\":\"" + (drains ? "terminating" : "in_service") + "\"}]}";
    }

    private Fate next() {
        synchronized (fates) {
            Fate fate = fates.poll();
            calls.add(fates.size());
            events.release();
            return fate;
        }
    }

    private void session(InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            String target = Peer.http(in).target();
            Fate fate = next();
            String whole = Peer.httpAnswer(200, "", list());
            if (fate == null) {
                int wait = target.contains("wait=") ? Integer.parseInt(target.replaceAll(".*wait=", "")) : 0;
                boolean knew = drains;
                for (double until = clock + wait; clock < until && knew == drains; ) {
                    step();
                }
                Peer.write(out, Peer.httpAnswer(200, "", list()));
                continue;
            }
            switch (fate) {
                case SILENT -> in.read();   // until the watch gives it up
                case HALF -> {
                    Peer.write(out, whole.substring(0, whole.length() / 2));
                    in.read();
                }
                case DRIPS -> {
                    Peer.write(out, "HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n{");
                    while (true) {
                        step();
                        Peer.write(out, " ");
                    }
                }
                case RESET -> throw new IOException("the end of the session ends the connection");
                case REFUSED -> Peer.write(out, Peer.httpAnswer(503, "", "busy"));
                case UNKNOWN -> Peer.write(out, Peer.httpAnswer(410, "", "gone"));
                case GARBAGE -> Peer.write(out, "garbage\r\n\r\n");
                default -> Peer.write(out, whole + whole);
            }
        }
    }

    /** Lets time pass until it is so, with a moment in each step for what is on the sockets; the time it took. */
    private double passed(BooleanSupplier so) throws Exception {
        double from = clock;
        while (!so.getAsBoolean()) {
            assertTrue(clock < from + 120_000, "waited in vain");
            synchronized (this) {
                clock += STEP_MS;
                notifyAll();
            }
            CompletableFuture.runAsync(() -> loop.timers().run(), loop::execute).get(20, TimeUnit.SECONDS);
            events.tryAcquire(4, TimeUnit.MILLISECONDS);
        }
        return clock - from;
    }

    /** Waits for the next step of the clock. */
    private synchronized void step() throws InterruptedException {
        for (double now = clock; now == clock; ) {
            wait();
        }
    }

    /** A change in the moment in which the last of so many calls meets its fate: how long until it is told. */
    private double toldAfter(Fate fate, int times, boolean shared) throws Exception {
        drains = false;
        calls.clear();
        told.clear();
        loop = new Loop(new Log(line -> { }), () -> clock);
        try (Peer discovery = new Peer(this::session)) {
            HostGroup group = new HostGroup(List.of(), (mode, list) -> {
                list.forEach(s -> told.add(s.phase()));
                events.release();
            },
                    new HostGroup.Places() {
                        @Override
                        public void host(long server, String name, InetSocketAddress at, boolean ready, double since) { }

                        @Override
                        public void only(java.util.Set<Long> servers) { }
                    });
            Settings settings = new Settings(FLEET, List.of(), List.of(), null, null, null, 2, shared, false, 1);
            loop.execute(() -> new Discovery(loop, new Log(line -> { }), group, settings, 3)
                    .begin(new InetSocketAddress("127.0.0.1", discovery.port()), () -> { }));
            passed(() -> told.contains(Phase.READY));
            synchronized (fates) {
                fates.addAll(Collections.nCopies(times, fate));
            }
            calls.clear();
            passed(() -> calls.contains(0));
            drains = true;
            return passed(() -> told.contains(Phase.DRAINING));
        } finally {
            loop.end();
        }
    }

    @Test
    void whateverBecomesOfACallTheNextOnesBringTheChangeInTime() throws Exception {
        for (Fate fate : Fate.values()) {
            for (boolean shared : new boolean[] {false, true}) {
                double ms = toldAfter(fate, 1, shared);
                assertTrue(ms < TOLD_MS, fate + (shared ? ", asked by all" : ", of the agent") + ": " + ms + " ms");
            }
        }
    }

    /** Guards against a pause that has grown in an outage, and goes on after it. */
    @Test
    void afterALongOutageTheChangeIsToldInTime() throws Exception {
        for (Fate fate : List.of(Fate.SILENT, Fate.REFUSED)) {
            for (boolean shared : new boolean[] {false, true}) {
                double ms = toldAfter(fate, 12, shared);
                assertTrue(ms < TOLD_MS, fate + (shared ? ", asked by all" : ", of the agent") + ": " + ms + " ms");
            }
        }
    }
}
