package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests from their arrival to the end of their last attempt. */
class OpenRequestsTest {
    private static final DecisionSettings SETTINGS = new DecisionSettings(
            1,
            List.of(EngineScript.IDEMPOTENT),
            List.of(EngineScript.UNLIMITED),
            new AttemptLimits(1, false, false, true, 1000),
            new SlowStart(0.2, 10_000, 2000),
            new CounterSettings(true, 50),
            4,
            false,
            false,
            4);

    private final OpenRequests requests = new OpenRequests();

    private static OpenRequest request(long id, double deadlineMs) {
        AdmissionRequest arrival = new AdmissionRequest(id, 0, 0, 5, deadlineMs, 1, 1, false);
        return new OpenRequest(100, arrival, SETTINGS, new PriorityTiers(SETTINGS, 3));
    }

    private static Attempt send(OpenRequest request) {
        Attempt attempt = new Attempt(new TrackedEndpoint(1, SETTINGS.slowStart(), 1), 100);
        request.attemptSent(attempt);
        return attempt;
    }

    @Test
    void anAnswerIsDueAtTheObjectiveOrAtTheDeadline() {
        assertEquals(1100, request(1, 5000).objectiveAtMs());
        assertEquals(600, request(1, 600).objectiveAtMs());
    }

    @Test
    void anAttemptMayHaveExecutedUnlessItsOutcomeProvesOtherwise() {
        OpenRequest request = request(1, 5000);
        assertFalse(request.mayHaveExecuted());
        assertNull(request.lastAttempt());
        Attempt first = send(request);
        assertTrue(request.mayHaveExecuted(), "it is in flight");
        request.attemptEnded(first, Outcome.CONNECT_FAILED);
        assertTrue(first.hasEnded());
        assertFalse(request.mayHaveExecuted());
        Attempt second = send(request);
        request.attemptEnded(second, Outcome.RESET);
        assertTrue(request.mayHaveExecuted());
        assertSame(second, request.lastAttempt());
        assertSame(first, request.attempt(0));
        assertNull(request.attempt(2));
    }

    @Test
    void aClosedRequestIsKnownWhileAnAttemptIsInFlight() {
        OpenRequest request = request(1, 5000);
        requests.add(request);
        Attempt attempt = send(request);
        requests.close(1);
        assertFalse(requests.isOpen(request));
        assertNull(requests.open(1));
        assertSame(request, requests.find(1));
        request.attemptEnded(attempt, Outcome.OK);
        assertTrue(requests.removeDrained(request));
        assertFalse(requests.removeDrained(request));
        assertNull(requests.find(1));
    }

    @Test
    void aRequestWithoutAnAttemptIsForgottenWhenClosed() {
        requests.add(request(2, 5000));
        requests.add(request(1, 5000));
        assertEquals(
                List.of(2L, 1L),
                requests.snapshot().stream().map(OpenRequest::id).toList());
        requests.close(2);
        assertNull(requests.find(2));
    }

    @Test
    void aCustomerReleasesTheRequestsThatItHolds() {
        Customer customer = new Customer(null);
        OpenRequest request = request(1, 5000);
        customer.hold(request);
        assertTrue(customer.hasWaiting());
        assertEquals(List.of(request), customer.release());
        assertFalse(customer.hasWaiting());
        assertFalse(customer.expectsRetries(10));
        customer.expectRetriesUntil(11);
        assertTrue(customer.expectsRetries(10));
    }
}
