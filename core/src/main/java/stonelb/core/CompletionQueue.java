package stonelb.core;

import java.util.ArrayDeque;
import stonelb.decision.AttemptResult;
import stonelb.decision.DecisionEngine;
import stonelb.decision.DecisionSettings;
import stonelb.decision.Outcome;

/**
 * Queue of finished attempts and withdrawn requests. Processing a finished attempt sends a successful response to its
 * client and reports the result to the decision engine. Both are queued first, since they may occur during a call of
 * the engine, which must not be reentered.
 */
final class CompletionQueue {
    private final DecisionSettings settings;
    private final TimerQueue timers;
    private final EndpointConnector endpointConnector;
    private final OpenRequests requests;
    private final FinalResponses finalResponses;
    private final DecisionEngine engine;
    private final EngineInvoker invoker;
    private final ArrayDeque<Attempt> finishedAttempts = new ArrayDeque<>();
    private final ArrayDeque<ClientRequest> withdrawnRequests = new ArrayDeque<>();

    CompletionQueue(
            DecisionSettings settings,
            TimerQueue timers,
            EndpointConnector endpointConnector,
            OpenRequests requests,
            FinalResponses finalResponses,
            DecisionEngine engine,
            EngineInvoker invoker) {
        this.settings = settings;
        this.timers = timers;
        this.endpointConnector = endpointConnector;
        this.requests = requests;
        this.finalResponses = finalResponses;
        this.engine = engine;
        this.invoker = invoker;
    }

    /** Records the result of an attempt and queues its report. */
    void finish(Attempt attempt, Outcome outcome, Response response) {
        attempt.finished = true;
        attempt.outcome = outcome;
        attempt.response = response;
        attempt.request().executedPossibly |= !outcome.provesNotExecuted();
        if (attempt.timeout != null) {
            timers.cancel(attempt.timeout);
        }
        finishedAttempts.add(attempt);
    }

    /** Abandons an attempt that is in flight and queues its report. */
    void cancel(Attempt attempt) {
        if (!attempt.finished) {
            boolean mayHaveExecuted = endpointConnector.abandon(attempt);
            finish(attempt, mayHaveExecuted ? Outcome.CANCELLED : Outcome.NOT_SENT, null);
        }
    }

    /** Queues the withdrawal of a request. */
    void withdraw(ClientRequest request) {
        withdrawnRequests.add(request);
    }

    /** Processes all queued entries, including those added meanwhile: results of attempts before withdrawals. */
    void deliverAll() {
        while (!finishedAttempts.isEmpty() || !withdrawnRequests.isEmpty()) {
            if (finishedAttempts.isEmpty()) {
                deliverWithdrawal(withdrawnRequests.poll());
            } else {
                deliverResult(finishedAttempts.poll());
            }
        }
    }

    private void deliverResult(Attempt attempt) {
        ClientRequest request = attempt.request();
        if (request.attemptInFlight == attempt) {
            request.attemptInFlight = null;
        }
        if (attempt.outcome == Outcome.OK) {
            Response response = attempt.response;
            finalResponses.send(request, () -> request.served(response));
        }
        attempt.response = null; // whoever still holds the attempt does not need it
        double now = timers.now();
        invoker.runReportingFaults(() -> engine.attemptEnded(now, toAttemptResult(attempt, now)));
        requests.removeIfComplete(request);
    }

    private static AttemptResult toAttemptResult(Attempt attempt, double now) {
        return new AttemptResult(
                attempt.request().id,
                attempt.number(),
                attempt.endpoint(),
                attempt.outcome,
                now - attempt.startedAt(),
                attempt.request().done,
                0);
    }

    private void deliverWithdrawal(ClientRequest request) {
        if (request.done) {
            return;
        }
        requests.markDone(request);
        invoker.runReportingFaults(() -> engine.requestWithdrawn(timers.now(), request.id));
        if (request.attemptInFlight != null && settings.attemptLimits().cancellation()) {
            cancel(request.attemptInFlight);
        }
        requests.removeIfComplete(request);
    }
}
