package stonelb.counter;

import java.net.InetSocketAddress;
import java.util.Objects;
import stonelb.core.QuotaCounter;
import stonelb.core.TimerCallback;
import stonelb.decision.Outcome;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/**
 * Client of the quota counter, over a fixed number of connections. All calls for one name use the same connection, so
 * that their responses arrive in the order of the calls.
 */
public final class CounterClient implements QuotaCounter, TimerCallback {
    private static final int CONNECTION_COUNT = 2;
    private static final double SWEEP_INTERVAL_MS = 500;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final double timeoutMs;
    private final CounterConnectionHolder[] connectionHolders = new CounterConnectionHolder[CONNECTION_COUNT];
    private InetSocketAddress address;
    private CounterListener listener;

    /**
     * Creates a client that connects at its first call.
     *
     * @param address of the counter, or null for none: calls then fail as if it were unreachable
     * @param timeoutMs how long a call may take
     */
    public CounterClient(EventLoop loop, RateLimitedLog log, InetSocketAddress address, double timeoutMs) {
        this.loop = loop;
        this.log = log;
        this.address = address;
        this.timeoutMs = timeoutMs;
        for (int i = 0; i < CONNECTION_COUNT; i++) {
            connectionHolders[i] = new CounterConnectionHolder(loop, this::openConnection);
        }
    }

    /** Starts the client; {@code listener} receives the result of each call. */
    public void start(CounterListener listener) {
        this.listener = listener;
        loop.timers().scheduleAfter(SWEEP_INTERVAL_MS, this, 0);
    }

    /** Migrates the calls to the counter's new address, or to none if it is null. */
    public void migrateTo(InetSocketAddress newAddress) {
        if (Objects.equals(newAddress, address)) {
            return;
        }
        address = newAddress;
        for (CounterConnectionHolder holder : connectionHolders) {
            holder.migrate(newAddress != null);
        }
    }

    private CounterConnection openConnection() {
        CounterConnection connection = new CounterConnection(this, address, log);
        connection.connect(loop);
        return connection;
    }

    @Override
    public void add(long name, double amount, double expiryMs) {
        CounterCall call = new CounterCall(this, name, amount, expiryMs, loop.now());
        loop.timers().scheduleAfter(timeoutMs, call, 0);
        if (address == null || !Double.isFinite(amount)) {
            return; // never sent: its timeout reports it as a failed connection attempt
        }
        connectionHolders[Math.floorMod(Long.hashCode(name), CONNECTION_COUNT)]
                .connection()
                .add(call);
    }

    /** Closes connections that are unresponsive or idle. */
    @Override
    public void onTimer(double now, long token) {
        loop.timers().scheduleAfter(SWEEP_INTERVAL_MS, this, 0);
        for (CounterConnectionHolder holder : connectionHolders) {
            holder.closeIfUnresponsiveOrIdle(now);
        }
    }

    double now() {
        return loop.now();
    }

    void report(CounterCall call, Outcome outcome, double total) {
        if (outcome == Outcome.TIMEOUT) {
            log.warn("quota counter timeout", "the call counts as added");
        }
        listener.counterAnswered(call.name(), outcome, loop.now() - call.startedAt(), total);
    }
}
