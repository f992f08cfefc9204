// The interface, with its types, events and actions: DecisionEngine.java.
package stonelb.decision;

import java.util.List;

/** Handles the events of one gateway: a request goes through its quota, the slots and endpoint selection. */
public final class DefaultDecisionEngine implements DecisionEngine {
    private static final double TICK_MS = 50;
    private static final double SPLIT_PERIOD_MS = 2000; // between two splits of the slots among tiers
    private static final long TICK_TOKEN = 1;
    private static final int REQUEST_TOKEN_SHIFT = 3; // a request's timer token is its shifted id

    private final DecisionSettings settings;
    private final DecisionActions actions;
    private final EngineComponents parts;
    private final CustomerTable customers;
    private double nextSplitAtMs;

    /** Starts an engine; engines with the same settings, seed and events take the same actions. */
    public DefaultDecisionEngine(double now, DecisionSettings settings, long seed, DecisionActions actions) {
        this.settings = settings;
        this.actions = actions;
        parts = EngineComponents.create(settings, seed, actions);
        customers = new CustomerTable(parts.leases());
        nextSplitAtMs = now + SPLIT_PERIOD_MS;
        actions.schedule(TICK_MS, TICK_TOKEN);
        if (settings.endpointsOnRequest()) {
            actions.watchEndpoints();
        }
    }

    @Override
    public void endpointsChanged(double now, EndpointListType type, List<Endpoint> list) {
        if (type == EndpointListType.FAILED) {
            actions.watchEndpoints();
        } else {
            parts.endpoints().update(now, type, list);
        }
        parts.slots().setInitialLimit(parts.endpoints().readyCount());
    }

    @Override
    public void requestReceived(double now, AdmissionRequest arrival) {
        OpenRequest request =
                new OpenRequest(now, arrival, settings, parts.slots().tiers());
        parts.requests().add(request);
        // Answers the client before its deadline even if the endpoint's response is lost.
        double timeLeftMs = Math.max(0, arrival.deadlineMs() - settings.timerResolutionMs() - now);
        actions.schedule(timeLeftMs, arrival.id() << REQUEST_TOKEN_SHIFT);
        boolean shed = parts.latency().shouldShed(now, request);
        request.setCustomer(shed ? null : customers.findOrAdd(now, arrival));
        if (request.customer() == null) {
            parts.dispatcher().reject(request, settings.attemptLimits().maxRetryAfterMs());
            return;
        }
        // While no slot is free, no units are taken from the counter before admission.
        admit(
                now,
                request,
                parts.slots().hasFree(request.tier()) || !request.lease().countsEachRequest());
    }

    private void admit(double now, OpenRequest request, boolean mayWait) {
        Admission decision = request.lease().admit(now, request.arrival(), mayWait);
        if (decision.isHeld()) {
            request.customer().hold(request);
        } else if (decision.isRejected()) {
            parts.dispatcher().reject(request, decision.retryAfterMs());
        } else {
            dispatch(now, request);
        }
    }

    /** Sends a request within its quota if a slot and an endpoint are available, else rejects it. */
    private void dispatch(double now, OpenRequest request) {
        if (!request.arrival().retry() && !request.customer().expectsRetries(now)) {
            // Retries are not counted as demand: the split would reserve slots for rejected traffic.
            parts.slots().demand().arrived(request.tier(), request.weight() * request.units());
        }
        boolean hasSlot = parts.slots().hasFree(request.tier());
        TrackedEndpoint endpoint = hasSlot ? parts.selector().select(now, request) : null;
        if (endpoint == null) {
            request.customer().expectRetriesUntil(now + settings.attemptLimits().maxRetryAfterMs());
            parts.dispatcher().rejectOverloaded(request);
            return;
        }
        request.lease().take(now, request.arrival());
        parts.dispatcher().send(now, request, endpoint);
    }

    @Override
    public void responseStarted(double now, long requestId, int attempt) {
        parts.requests().close(requestId);
    }

    @Override
    public void attemptEnded(double now, AttemptResult result) {
        OpenRequest request = parts.requests().find(result.requestId());
        Attempt attempt = request == null ? null : request.attempt(result.attempt());
        if (attempt == null || attempt.hasEnded()) {
            return;
        }
        request.attemptEnded(attempt, result.outcome());
        if (!attempt.hasTimedOut()) {
            parts.slots().counts().release(request.tier());
        }
        request.lease().inFlightCap().peak().attemptEnded();
        request.lease().inFlightCap().report(now);
        parts.feedback().attemptEnded(now, request, attempt, result);
        if (result.answered()) {
            parts.requests().markAnswered(request);
            if (result.outcome() == Outcome.OK && settings.chargesActualUnits() && result.actualUnits() > 0) {
                request.lease().balance().add(request.units() - result.actualUnits());
            }
        }
        if (request.inFlight() == 0 && !parts.requests().removeDrained(request)) {
            parts.dispatcher().retryOrFinish(now, request);
        }
    }

    @Override
    public void requestWithdrawn(double now, long requestId) {
        parts.requests().close(requestId);
    }

    @Override
    public void counterAnswered(double now, long name, Outcome outcome, double latencyMs, double total) {
        parts.counter().callEnded(now, outcome, latencyMs);
        Customer customer = customers.findByCounterName(name);
        if (customer == null || !customer.lease().counterAnswered(now, name, outcome, total)) {
            return;
        }
        for (OpenRequest request : customer.release()) {
            if (parts.requests().isOpen(request)) {
                admit(now, request, customer.lease().mayHoldAgain(outcome));
            }
        }
    }

    @Override
    public void timerFired(double now, long token) {
        if (token == TICK_TOKEN) {
            actions.schedule(TICK_MS, TICK_TOKEN);
            tick(now);
            return;
        }
        OpenRequest request = parts.requests().open(token >>> REQUEST_TOKEN_SHIFT);
        if (request != null) {
            parts.dispatcher().finish(request);
        }
    }

    private void tick(double now) {
        parts.slots()
                .adjust(now, parts.endpoints().readyCount(), parts.endpoints().reachableCapacity(now));
        parts.endpoints().tick(now, TICK_MS);
        for (OpenRequest request : parts.requests().snapshot()) {
            parts.timeouts().check(now, request);
        }
        if (now >= nextSplitAtMs) {
            nextSplitAtMs = now + SPLIT_PERIOD_MS;
            parts.slots().split(SPLIT_PERIOD_MS);
            customers.closeIdle(now);
        }
    }

    @Override
    public int tierOf(int classIndex, int planIndex) {
        RequestClass requestClass = settings.classes().get(classIndex);
        return parts.slots()
                .tiers()
                .tierOf(PriorityTiers.weight(requestClass, settings.plans().get(planIndex)));
    }

    @Override
    public int[] slotLimits() {
        return parts.slots().counts().limits(parts.slots().limit().wholeSlots());
    }
}
