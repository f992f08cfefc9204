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
 * The requests in flight and the decision engine that controls them. Each request gets exactly one final response, at
 * most one of its attempts is in flight unless hedging is allowed, and no attempt outlives its deadline.
 *
 * <p>The table is independent of protocols: frontends extend {@link ClientRequest}, and endpoint connections implement
 * {@link EndpointConnector}. All methods must be called on the event-loop thread.
 */
public final class RequestTable implements DecisionActions, TimerCallback {
    /**
     * Responses are due this long before the client's deadline, to leave time for the transmission and for a pause of
     * this process.
     */
    static final double RESPONSE_MARGIN_MS = 15;

    /** How long after the engine's own deadline a request that the engine has not completed is completed here. */
    private static final double EXPIRY_GRACE_MS = 3;

    private final DecisionSettings settings;
    private final TimerQueue timers;
    private final EndpointConnector endpointConnector;
    private final QuotaCounter quotaCounter;
    private final TimerCallback expiryCallback = (now, requestId) -> onExpired(requestId);
    private final OpenRequests requests;
    private final EndpointStates endpointStates = new EndpointStates();
    private final EngineInvoker invoker;
    private final DecisionEngine engine;
    private final FinalResponses finalResponses;
    private final CompletionQueue completions;

    /**
     * Creates the table with a decision engine of its own.
     *
     * @param seed of the engine's random choices
     * @param faultListener receives the exceptions that the engine or a frontend throws
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
        requests = new OpenRequests(timers);
        this.endpointConnector = endpointConnector;
        this.quotaCounter = quotaCounter;
        invoker = new EngineInvoker(faultListener, this::deliverPending);
        engine = new DefaultDecisionEngine(timers.now(), settings, seed, this);
        finalResponses = new FinalResponses(requests, invoker);
        completions =
                new CompletionQueue(settings, timers, endpointConnector, requests, finalResponses, engine, invoker);
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

    /** Admits a new request; its final response may be sent before this call returns. */
    public void submit(ClientRequest request) {
        requests.add(request);
        request.expiry = timers.scheduleAt(responseDeadline(request) + EXPIRY_GRACE_MS, expiryCallback, request.id);
        invoker.call(() -> engine.requestReceived(now(), toAdmissionRequest(request)));
    }

    private static AdmissionRequest toAdmissionRequest(ClientRequest request) {
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

    /** The time by which the response must be sent to the client. */
    private static double responseDeadline(ClientRequest request) {
        return request.attributes().deadlineMs() - RESPONSE_MARGIN_MS;
    }

    /**
     * Withdraws a request whose client has disconnected: it gets no response, and its attempt is abandoned. No effect on
     * a request that was not submitted.
     */
    public void withdraw(ClientRequest request) {
        if (!request.done && requests.get(request.id) == request) {
            completions.withdraw(request);
            invoker.deliverUnlessBusy();
        }
    }

    /** Applies a change of the endpoint list. */
    public void endpointsChanged(EndpointListType type, List<Endpoint> endpoints) {
        endpointStates.update(type, endpoints);
        invoker.call(() -> engine.endpointsChanged(now(), type, endpoints));
    }

    /** Handles the result of a call to the quota counter. */
    public void counterAnswered(long name, Outcome outcome, double latencyMs, double total) {
        invoker.call(() -> engine.counterAnswered(now(), name, outcome, latencyMs, total));
    }

    /** Handles the result of an attempt; later results of the same attempt are ignored. */
    public void attemptEnded(Attempt attempt, Outcome outcome, Response response) {
        if (!attempt.finished) {
            completions.finish(attempt, outcome, response);
            invoker.deliverUnlessBusy();
        }
    }

    /**
     * Whether an attempt may be written to a connection; no other code permits it. Connections check this directly
     * before the write, since an attempt may have waited for a connection while its endpoint began to drain or was
     * replaced by another process, its request was answered, its deadline passed or its client disconnected.
     */
    public boolean maySend(Attempt attempt) {
        return !attempt.finished
                && !attempt.request().done
                && attempt.request().canDetectDisconnect()
                && now() < attempt.deadline()
                && endpointStates.isReady(attempt.endpoint(), attempt.endpointStartedAt());
    }

    /** Completes every open request, as the last step of a graceful shutdown. */
    public void completeAll() {
        requests.snapshot().forEach(this::complete);
    }

    /**
     * Rejects a request that is idempotent or was never attempted; fails any other, since it may have had an effect.
     */
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

    /** The engine completes requests by its own timers; this completes those that it missed because of an exception. */
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
            boolean mayHaveExecuted = endpointConnector.abandon(attempt);
            attemptEnded(attempt, mayHaveExecuted ? Outcome.TIMEOUT : Outcome.NOT_SENT, null);
        }
    }

    private void deliverPending() {
        completions.deliverAll();
    }

    // Actions of the decision engine.

    @Override
    public void forward(long id, long endpointId, double attemptTimeoutMs) {
        ClientRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        double now = now();
        double deadline = responseDeadline(request);
        double attemptDeadline = attemptTimeoutMs > 0 ? Math.min(deadline, now + attemptTimeoutMs) : deadline;
        double endpointStartedAt = endpointStates.startedAtMs(endpointId);
        Attempt attempt = new Attempt(
                this, request, request.attemptsStarted++, endpointId, endpointStartedAt, now, attemptDeadline);
        if (!mayStartAttempt(request)) {
            completions.finish(attempt, Outcome.NOT_SENT, null);
            return;
        }
        request.attemptInFlight = attempt;
        attempt.timeout = timers.scheduleAt(attempt.deadline(), attempt, 0);
        endpointConnector.send(attempt);
    }

    /**
     * No attempt is started after the final response or while a disconnect of the client can't be detected, and no
     * second one while another is in flight unless hedging is allowed.
     */
    private boolean mayStartAttempt(ClientRequest request) {
        return !request.done
                && request.canDetectDisconnect()
                && (request.attemptInFlight == null || settings.attemptLimits().hedging());
    }

    @Override
    public void cancel(long id, int attemptNumber) {
        ClientRequest request = requests.get(id);
        if (request != null && request.attemptInFlight != null && request.attemptInFlight.number() == attemptNumber) {
            completions.cancel(request.attemptInFlight);
        }
    }

    @Override
    public void reject(long id, double retryAfterMs) {
        ClientRequest request = requests.get(id);
        if (request != null) {
            finalResponses.send(request, () -> request.rejected(retryAfterMs));
        }
    }

    @Override
    public void fail(long id) {
        ClientRequest request = requests.get(id);
        if (request != null) {
            boolean nearDeadline = now() >= request.attributes().deadlineMs() - 2 * RESPONSE_MARGIN_MS;
            FailureReason reason = nearDeadline ? FailureReason.DEADLINE_EXCEEDED : FailureReason.ERROR;
            finalResponses.send(request, () -> request.failed(reason));
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
    public void addToCounter(long name, double amount, double expiryMs) {
        quotaCounter.add(name, amount, expiryMs);
    }

    /** Does nothing, since the endpoint list is always watched. */
    @Override
    public void watchEndpoints() {}
}
