package stonelb.core;

import java.util.List;
import stonelb.decision.AdmissionRequest;
import stonelb.decision.DecisionActions;
import stonelb.decision.DecisionEngine;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DefaultDecisionEngine;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.Idempotency;
import stonelb.decision.Outcome;

/**
 * The requests in flight and the decision engine that decides on them. Each request gets exactly one final response,
 * at most one of its attempts is in flight unless hedging is allowed, and no attempt outlives its deadline.
 *
 * <p>The table knows no protocol: frontends extend {@link ClientRequest}, and endpoint connections implement {@link
 * EndpointConnector}. All methods must be called on the event-loop thread.
 */
public final class RequestTable implements DecisionActions, TimerCallback {
    /** Responses are due this long before the client's deadline, which leaves time for the way back and for a pause. */
    static final double RESPONSE_MARGIN_MS = 15;

    /** How long after the engine's own deadline a request that the engine has not answered is completed here. */
    private static final double EXPIRY_GRACE_MS = 3;

    private final DecisionSettings settings;
    private final TimerQueue timers;
    private final EndpointConnector endpointConnector;
    private final QuotaCounter quotaCounter;
    private final TimerCallback expiryCallback = (now, requestId) -> onExpired(requestId);
    private final OpenRequests requests = new OpenRequests();
    private final EndpointStates endpointStates = new EndpointStates();
    private final EngineInvoker invoker;
    private final DecisionEngine engine;
    private final FinalResponses finalResponses;
    private final AttemptSettlement settlement;

    /**
     * Creates the table with a decision engine of its own.
     *
     * @param seed of the engine's random choices
     * @param faultListener is told of exceptions that the engine throws
     */
    public RequestTable(
            DecisionSettings settings,
            long seed,
            TimerQueue timers,
            EndpointConnector endpointConnector,
            QuotaCounter quotaCounter,
            FaultListener faultListener) {
        this.settings = settings;
        this.timers = timers;
        this.endpointConnector = endpointConnector;
        this.quotaCounter = quotaCounter;
        invoker = new EngineInvoker(faultListener, this::deliverPending);
        engine = new DefaultDecisionEngine(timers.now(), settings, seed, this);
        finalResponses = new FinalResponses(requests, invoker);
        settlement =
                new AttemptSettlement(settings, timers, endpointConnector, requests, finalResponses, engine, invoker);
        invoker.enable();
    }

    /** The time in milliseconds on the clock of the timers. */
    public double now() {
        return timers.now();
    }

    /** The number of requests without a final response. */
    public int openRequests() {
        return requests.openCount();
    }

    // Events from the frontends, the endpoint connections, the endpoint list and the quota counter.

    /** Admits a new request; its final response may be given before this call returns. */
    public void submit(ClientRequest request) {
        requests.add(request);
        timers.scheduleAt(responseDeadline(request) + EXPIRY_GRACE_MS, expiryCallback, request.id);
        invoker.call(() -> engine.requestReceived(now(), admissionOf(request)));
    }

    private static AdmissionRequest admissionOf(ClientRequest request) {
        RequestAttributes attributes = request.attributes();
        return new AdmissionRequest(
                request.id,
                attributes.requestClass(),
                attributes.plan(),
                attributes.customer(),
                responseDeadline(request),
                attributes.units(),
                attributes.spread(),
                attributes.retry());
    }

    /** When the response must be on its way to the client. */
    private static double responseDeadline(ClientRequest request) {
        return request.attributes().deadlineMs() - RESPONSE_MARGIN_MS;
    }

    /** Withdraws a request whose client has disconnected: it gets no response, and its attempt is abandoned. */
    public void withdraw(ClientRequest request) {
        if (!request.done) {
            settlement.withdraw(request);
            invoker.deliverUnlessBusy();
        }
    }

    /** Takes a change of the endpoint list. */
    public void endpointsChanged(EndpointListType type, List<Endpoint> endpoints) {
        endpointStates.update(type, endpoints);
        invoker.call(() -> engine.endpointsChanged(now(), type, endpoints));
    }

    /** Takes the result of a call to the quota counter. */
    public void counterAnswered(long name, Outcome outcome, double latencyMs, double total) {
        invoker.call(() -> engine.counterAnswered(now(), name, outcome, latencyMs, total));
    }

    /** Takes the result of an attempt; the second and later results of one attempt are ignored. */
    public void attemptEnded(Attempt attempt, Outcome outcome, Response response) {
        if (!attempt.finished) {
            settlement.finish(attempt, outcome, response);
            invoker.deliverUnlessBusy();
        }
    }

    /**
     * Whether an attempt may be written, the one place that permits it. Connections ask directly before the write, since
     * an attempt may have waited for a connection while its endpoint began to drain, its request was answered, its
     * deadline passed or its client disconnected.
     */
    public boolean maySend(Attempt attempt) {
        return !attempt.finished
                && !attempt.request().done
                && attempt.request().isClientWatched()
                && now() < attempt.deadline()
                && endpointStates.isReady(attempt.endpoint());
    }

    /** Completes every open request, as the last step of a graceful shutdown. */
    public void completeAll() {
        requests.snapshot().forEach(this::complete);
    }

    /** Rejects a request that surely had no effect, or that is idempotent; any other one fails. */
    private void complete(ClientRequest request) {
        if (request.done) {
            return;
        }
        if (isIdempotent(request) || request.attemptsStarted == 0) {
            reject(request.id, settings.attemptLimits().maxRetryAfterMs() / 2);
        } else {
            fail(request.id);
        }
    }

    /** The engine completes requests by timers of its own; this completes those that a fault made it miss. */
    private void onExpired(long requestId) {
        ClientRequest request = requests.get(requestId);
        if (request != null) {
            complete(request);
        }
    }

    boolean isIdempotent(ClientRequest request) {
        return settings.classes().get(request.attributes().requestClass()).idempotency() == Idempotency.IDEMPOTENT;
    }

    void attemptTimedOut(Attempt attempt) {
        if (!attempt.finished) {
            boolean sent = endpointConnector.abandon(attempt);
            attemptEnded(attempt, sent ? Outcome.TIMEOUT : Outcome.NOT_SENT, null);
        }
    }

    private void deliverPending() {
        settlement.deliverAll();
    }

    // Actions of the decision engine.

    @Override
    public void forward(long id, long endpointId, double patienceMs) {
        ClientRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        double now = now();
        double deadline = responseDeadline(request);
        double attemptDeadline = patienceMs > 0 ? Math.min(deadline, now + patienceMs) : deadline;
        Attempt attempt = new Attempt(this, request, request.attemptsStarted++, endpointId, now, attemptDeadline);
        if (!mayStartAttempt(request)) {
            settlement.finish(attempt, Outcome.NOT_SENT, null);
            return;
        }
        request.attemptInFlight = attempt;
        timers.scheduleAt(attempt.deadline(), attempt, 0);
        endpointConnector.send(attempt);
    }

    /**
     * No attempt after the final response or where a disconnect of the client could go unnoticed, and no second one in
     * flight unless hedging is allowed.
     */
    private boolean mayStartAttempt(ClientRequest request) {
        return !request.done
                && request.isClientWatched()
                && (request.attemptInFlight == null || settings.attemptLimits().hedging());
    }

    @Override
    public void cancel(long id, int attemptNumber) {
        ClientRequest request = requests.get(id);
        if (request != null && request.attemptInFlight != null && request.attemptInFlight.number() == attemptNumber) {
            settlement.cancel(request.attemptInFlight);
        }
    }

    @Override
    public void reject(long id, double retryAfterMs) {
        ClientRequest request = requests.get(id);
        if (request != null) {
            finalResponses.give(request, () -> request.rejected(retryAfterMs));
        }
    }

    @Override
    public void fail(long id) {
        ClientRequest request = requests.get(id);
        if (request != null) {
            boolean late = now() >= request.attributes().deadlineMs() - 2 * RESPONSE_MARGIN_MS;
            FailureReason reason = late ? FailureReason.DEADLINE_EXCEEDED : FailureReason.ERROR;
            finalResponses.give(request, () -> request.failed(reason));
        }
    }

    @Override
    public void schedule(double afterMs, long token) {
        timers.scheduleAfter(afterMs, this, token);
    }

    @Override
    public void onTimer(double now, long token) {
        invoker.call(() -> engine.timerFired(now, token));
    }

    @Override
    public void addToCounter(long name, double amount, double keepMs) {
        quotaCounter.add(name, amount, keepMs);
    }

    /** Does nothing, since the endpoint list is always watched. */
    @Override
    public void watchEndpoints() {}
}
