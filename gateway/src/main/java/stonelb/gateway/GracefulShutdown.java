package stonelb.gateway;

import java.util.List;
import stonelb.core.RequestTable;
import stonelb.gateway.frontend.Frontend;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/**
 * Shuts the gateway down after SIGTERM without losing a request, within the time that the service manager allows.
 *
 * <p>Requests are served on existing connections for as long as possible, since clients that move at once would crowd
 * the other gateways. Then connections close, first with their next response and later idle ones too. At the time
 * limit all requests in flight are answered unserved.
 */
final class GracefulShutdown {
    /** After SIGTERM, the program exits so late at the latest. */
    static final long MAX_DURATION_MS = 3500;

    /** Limit on the drain time, the time for which requests that are in flight at SIGTERM are waited for. */
    private static final double MAX_DRAIN_MS = 3000;

    /** So long before the end of the drain time, connections begin to close with their next response. */
    private static final double CLOSE_AFTER_RESPONSE_MS = 500;

    /** So long before the end of the drain time, idle connections begin to close. */
    private static final double CLOSE_IDLE_MS = 100;

    /** So long after the drain time, all requests in flight are answered unserved, and new ones at once. */
    private static final double FORCED_RESPONSE_MS = 50;

    /**
     * So long after the drain time, the program exits. SIGKILL may come 0.7 s after the drain time, and on a small share
     * of a core the signal is handled up to 0.42 s late.
     */
    private static final double EXIT_MS = 250;

    /** So long after that, it exits although responses are still owed. */
    private static final double MAX_EXIT_DELAY_MS = 20;

    /** Between two checks; the event loop reads all input meanwhile. */
    private static final double CHECK_INTERVAL_MS = 2;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final RequestTable requests;
    private final List<Frontend> frontends;
    private final double drainMs;
    private final Runnable onComplete;
    private double signalledAt;
    private boolean allAnswered;

    /**
     * Prepares the shutdown.
     *
     * @param deadlinesMs how long clients wait for requests of each class; the longest is the drain time
     * @param onComplete called once, on the event loop, when the program may exit
     */
    GracefulShutdown(
            EventLoop loop,
            RateLimitedLog log,
            RequestTable requests,
            List<Frontend> frontends,
            List<Double> deadlinesMs,
            Runnable onComplete) {
        this.loop = loop;
        this.log = log;
        this.requests = requests;
        this.frontends = frontends;
        drainMs = Math.min(
                MAX_DRAIN_MS, deadlinesMs.stream().mapToDouble(d -> d).max().orElse(MAX_DRAIN_MS));
        this.onComplete = onComplete;
    }

    /**
     * Starts the shutdown, on the event loop. All times count from the signal itself: had the loop been busy when it
     * came, times that count from here would place the last responses after SIGKILL.
     *
     * @param signalTime when SIGTERM came, in milliseconds of the event loop's clock
     */
    void start(double signalTime) {
        signalledAt = signalTime;
        log.info("graceful shutdown started, " + requests.openRequests() + " requests in flight");
        loop.timers()
                .scheduleAt(
                        signalledAt + drainMs - CLOSE_AFTER_RESPONSE_MS,
                        (now, token) -> frontends.forEach(Frontend::leave),
                        0);
        loop.timers().scheduleAt(signalledAt + drainMs - CLOSE_IDLE_MS, (now, token) -> closeConnections(now), 0);
    }

    /**
     * Closes idle connections and schedules itself until none is left. The port stays open until the program exits: a
     * request may cross the close of its connection, and its client sends it again on a new one.
     */
    private void closeConnections(double now) {
        double elapsedMs = now - signalledAt;
        boolean timeLimitReached = elapsedMs > drainMs + FORCED_RESPONSE_MS;
        if (timeLimitReached && !allAnswered) {
            allAnswered = true;
            answerAll();
        }
        frontends.forEach(frontend -> frontend.finishIdle(timeLimitReached));
        if (elapsedMs > drainMs + EXIT_MS || frontends.stream().allMatch(Frontend::empty)) {
            frontends.forEach(Frontend::stopReading);
            loop.timers().scheduleAfter(0, (next, token) -> exitOnceAnswered(next), 0);
        } else {
            loop.timers().scheduleAfter(CHECK_INTERVAL_MS, (next, token) -> closeConnections(next), 0);
        }
    }

    /** What was read up to now is answered before the program exits, since the exit ends all connections. */
    private void exitOnceAnswered(double now) {
        boolean late = now - signalledAt > drainMs + EXIT_MS + MAX_EXIT_DELAY_MS;
        if (late || frontends.stream().noneMatch(Frontend::owesResponses)) {
            log.info("graceful shutdown complete");
            onComplete.run();
        } else {
            loop.timers().scheduleAfter(CHECK_INTERVAL_MS, (next, token) -> exitOnceAnswered(next), 0);
        }
    }

    private void answerAll() {
        log.info("graceful shutdown: time limit reached, " + requests.openRequests() + " requests answered unserved");
        frontends.forEach(Frontend::refuse);
        requests.completeAll();
    }
}
