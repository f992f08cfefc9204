package stonelb.gateway;

import java.util.List;
import stonelb.core.RequestTable;
import stonelb.gateway.frontend.Frontend;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/**
 * Shuts the gateway down after SIGTERM without losing a request, within the time that the service manager allows.
 *
 * <p>Requests are served on existing connections for as long as possible, since clients that all reconnect at once
 * would overload the other gateways. Then connections close, first after their next response and later also when
 * idle. At the time limit all requests in flight are answered with an error.
 */
final class GracefulShutdown {
    /** Maximum time from SIGTERM to the exit of the program. */
    static final long MAX_DURATION_MS = 3500;

    /** Limit on the drain time, which is how long requests in flight at SIGTERM may still complete. */
    private static final double MAX_DRAIN_MS = 3000;

    /** How long before the end of the drain time connections start to close after their next response. */
    private static final double CLOSE_AFTER_RESPONSE_LEAD_MS = 500;

    /** How long before the end of the drain time idle connections start to close. */
    private static final double CLOSE_IDLE_LEAD_MS = 100;

    /** How long after the drain time all requests in flight are answered with an error, and new ones are rejected. */
    private static final double FORCED_RESPONSE_DELAY_MS = 50;

    /**
     * How long after the drain time the program exits. SIGKILL may arrive 0.7 s after the drain time, and on a small
     * share of a core SIGTERM is handled up to 0.42 s late.
     */
    private static final double EXIT_DELAY_MS = 250;

    /** How much longer the program waits for pending responses before it exits without them. */
    private static final double PENDING_RESPONSE_GRACE_MS = 20;

    /** Interval between checks; the event loop reads all input between two of them. */
    private static final double CHECK_INTERVAL_MS = 2;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final RequestTable requests;
    private final List<Frontend> frontends;
    private final double drainMs;
    private final Runnable onComplete;
    private double signalledAt;
    private boolean openRequestsCompleted;

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
     * Starts the shutdown, on the event loop. All times are measured from the signal itself: if they were
     * measured from here and the loop was busy when the signal arrived, the last responses would come after SIGKILL.
     *
     * @param signalTime when SIGTERM arrived, in milliseconds of the event loop's clock
     */
    void start(double signalTime) {
        signalledAt = signalTime;
        log.info("graceful shutdown started, " + requests.openRequests() + " requests in flight");
        loop.timers()
                .scheduleAt(
                        signalledAt + drainMs - CLOSE_AFTER_RESPONSE_LEAD_MS,
                        (now, token) -> frontends.forEach(Frontend::startDraining),
                        0);
        loop.timers().scheduleAt(signalledAt + drainMs - CLOSE_IDLE_LEAD_MS, (now, token) -> closeConnections(now), 0);
    }

    /**
     * Closes idle connections and reschedules itself until none is left. The port stays open until the program exits: a
     * request may be sent just as its connection closes, and the client then retries it on a new connection.
     */
    private void closeConnections(double now) {
        double elapsedMs = now - signalledAt;
        boolean timeLimitReached = elapsedMs > drainMs + FORCED_RESPONSE_DELAY_MS;
        if (timeLimitReached && !openRequestsCompleted) {
            openRequestsCompleted = true;
            completeOpenRequests();
        }
        frontends.forEach(frontend -> frontend.closeIdleConnections(timeLimitReached));
        if (elapsedMs > drainMs + EXIT_DELAY_MS || frontends.stream().allMatch(Frontend::hasNoConnections)) {
            frontends.forEach(Frontend::stopReading);
            loop.timers().scheduleAfter(0, (next, token) -> exitOnceAnswered(next), 0);
        } else {
            loop.timers().scheduleAfter(CHECK_INTERVAL_MS, (next, token) -> closeConnections(next), 0);
        }
    }

    /** Waits for responses to all requests read so far, since the exit of the program closes all connections. */
    private void exitOnceAnswered(double now) {
        boolean timedOut = now - signalledAt > drainMs + EXIT_DELAY_MS + PENDING_RESPONSE_GRACE_MS;
        if (timedOut || frontends.stream().noneMatch(Frontend::hasPendingResponses)) {
            log.info("graceful shutdown complete");
            onComplete.run();
        } else {
            loop.timers().scheduleAfter(CHECK_INTERVAL_MS, (next, token) -> exitOnceAnswered(next), 0);
        }
    }

    private void completeOpenRequests() {
        log.info("graceful shutdown: time limit reached, " + requests.openRequests()
                + " requests answered with an error");
        frontends.forEach(Frontend::rejectNewRequests);
        requests.completeAll();
    }
}
