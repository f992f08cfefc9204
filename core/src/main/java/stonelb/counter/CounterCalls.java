package stonelb.counter;

import java.net.InetSocketAddress;
import lichenbeam.Gateway.Outcome;
import stonelb.core.Ports;
import stonelb.core.Timers;
import stonelb.io.Log;
import stonelb.io.Loop;

/** Calls to the quota counter, over a few connections. A name keeps to one, so its answers come in order. */
public final class CounterCalls implements Ports.Counter, Timers.Due {
    private static final int LINKS = 2;
    private static final double SWEEP_MS = 500;

    private final Loop loop;
    private final Log log;
    private final double waitMs;
    private final CounterLink[] links = new CounterLink[LINKS];
    private final CounterLink[] next = new CounterLink[LINKS];   // to where the counter has moved
    private InetSocketAddress at;
    private Answers answers;

    public CounterCalls(Loop loop, Log log, InetSocketAddress at, double waitMs) {
        this.loop = loop;
        this.log = log;
        this.at = at;
        this.waitMs = waitMs;
    }

    /** What is told of each call, once and in the order of a name's calls; the core, but for tests. */
    public interface Answers {
        void counted(long name, Outcome how, double tookMs, double total);
    }

    public void begin(Answers answers) {
        this.answers = answers;
        loop.timers().after(SWEEP_MS, this, 0);
    }

    /**
     * Moves the calls to where the counter is now. Each link serves on until its successor is up and none of its
     * calls is out: no call is lost, and answers for a name keep their order.
     */
    public void move(InetSocketAddress to) {
        if (java.util.Objects.equals(to, at)) {
            return;
        }
        at = to;
        for (int i = 0; i < LINKS; i++) {
            if (next[i] != null) {
                next[i].retire(loop);
                next[i] = null;
            }
            if (links[i] != null && !links[i].ended() && to != null) {
                next[i] = connected();
            }
        }
    }

    private CounterLink connected() {
        CounterLink link = new CounterLink(this, at, log);
        link.connect(loop);
        return link;
    }

    /** The link for the next call of a lane. */
    private CounterLink link(int i) {
        if (next[i] != null && next[i].ended()) {
            next[i] = connected();
        }
        boolean over = links[i] == null || links[i].ended();
        if (next[i] != null && (over || next[i].isUp() && links[i].settled())) {
            if (!over) {
                links[i].retire(loop);
            }
            links[i] = next[i];
            next[i] = null;
        } else if (over) {
            links[i] = connected();
        }
        return links[i];
    }

    @Override
    public void add(long name, double amount, double keepMs) {
        CounterCall call = new CounterCall(this, name, amount, keepMs, loop.now());
        loop.timers().after(waitMs, call, 0);
        if (at == null || !Double.isFinite(amount)) {
            return;   // no counter is there, or the amount is none: the call ends as one that could not connect
        }
        link(Math.floorMod(Long.hashCode(name), LINKS)).add(call);
    }

    @Override
    public void due(double now, long token) {
        loop.timers().after(SWEEP_MS, this, 0);
        for (int i = 0; i < LINKS; i++) {
            if (links[i] != null) {
                links[i].sweep(now);
            }
            if (next[i] != null) {
                next[i].sweep(now);
            }
        }
    }

    double now() {
        return loop.now();
    }

    void report(CounterCall call, Outcome how, double total) {
        if (how == Outcome.TIMEOUT) {
            log.warn("counter gave no answer in time", "the call counts as added");
        }
        answers.counted(call.name(), how, loop.now() - call.startedAt(), total);
    }
}
