package stonelb.counter;

import java.util.function.Supplier;
import stonelb.io.EventLoop;

/**
 * Holds the connection for the calls of some of the counter names, and opens a new one after it has closed. While the
 * client migrates to another address of the counter, it also holds the replacement, which becomes the current
 * connection once it is open and the current one has no open calls: no call is lost, and responses for a name keep
 * their order.
 */
final class CounterConnectionHolder {
    private final EventLoop loop;
    private final Supplier<CounterConnection> connectionFactory;
    private CounterConnection current;

    /** A connection to the counter's new address, or null. */
    private CounterConnection replacement;

    /**
     * Creates a holder; {@code connectionFactory} begins to open a connection to the counter's address at that time.
     */
    CounterConnectionHolder(EventLoop loop, Supplier<CounterConnection> connectionFactory) {
        this.loop = loop;
        this.connectionFactory = connectionFactory;
    }

    /** Migrates to the counter's new address, or stops an earlier migration if it has no address now. */
    void migrate(boolean hasAddress) {
        if (replacement != null) {
            replacement.drain(loop);
            replacement = null;
        }
        if (current != null && !current.isTerminated() && hasAddress) {
            replacement = connectionFactory.get();
        }
    }

    /** The connection for the next call. */
    CounterConnection connection() {
        if (replacement != null && replacement.isTerminated()) {
            replacement = connectionFactory.get();
        }
        boolean currentUnusable = current == null || current.isTerminated();
        if (replacement != null && (currentUnusable || isReplacementReady())) {
            if (!currentUnusable) {
                current.drain(loop);
            }
            current = replacement;
            replacement = null;
        } else if (currentUnusable) {
            current = connectionFactory.get();
        }
        return current;
    }

    private boolean isReplacementReady() {
        return replacement.isConnected() && current.hasNoOpenCalls();
    }

    void closeIfUnresponsiveOrIdle(double now) {
        if (current != null) {
            current.closeIfUnresponsiveOrIdle(now);
        }
        if (replacement != null) {
            replacement.closeIfUnresponsiveOrIdle(now);
        }
    }
}
