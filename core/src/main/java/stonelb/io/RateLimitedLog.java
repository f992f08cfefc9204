package stonelb.io;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A log that writes at most one warning per second and kind, with the count of suppressed ones. Confined to one thread,
 * except for {@link #info}.
 */
public final class RateLimitedLog {
    private static final long MIN_INTERVAL_NANOS = 1_000_000_000L;
    private static final String PREFIX = "stonelb: ";

    private static final class WarningKind {
        private long lastWrittenNanos = System.nanoTime() - MIN_INTERVAL_NANOS;
        private int suppressed;
    }

    private final Map<String, WarningKind> kinds = new HashMap<>();
    private final Consumer<String> sink;

    /** Creates a log that writes plain lines to standard error. */
    public RateLimitedLog() {
        this(line -> System.err.println(PREFIX + line));
    }

    /** Creates a log that passes its lines to {@code sink}, for programs with a logging library. */
    public RateLimitedLog(Consumer<String> sink) {
        this.sink = sink;
    }

    /** Writes a line without a rate limit: starts, stops, changes of configuration. */
    public void info(String line) {
        sink.accept(line);
    }

    /** Writes a warning, subject to the rate limit. Kinds must be constants, since their state is never released. */
    public void warn(String kind, String detail) {
        WarningKind state = kinds.computeIfAbsent(kind, unused -> new WarningKind());
        long now = System.nanoTime();
        if (now - state.lastWrittenNanos < MIN_INTERVAL_NANOS) {
            state.suppressed++;
            return;
        }
        info(kind + ": " + detail + (state.suppressed > 0 ? " (and " + state.suppressed + " more like it)" : ""));
        state.lastWrittenNanos = now;
        state.suppressed = 0;
    }

    /** Warns of an exception that indicates a bug in this program, with the place where it was thrown. */
    public void internalError(Throwable error) {
        StackTraceElement[] trace = error.getStackTrace();
        warn("internal error", error + " at " + (trace.length > 0 ? trace[0] : "?"));
    }
}
