package stonelb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import stonelb.decision.AttemptLimits;
import stonelb.decision.CounterSettings;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DeduplicationScope;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.decision.Idempotency;
import stonelb.decision.Outcome;
import stonelb.decision.Plan;
import stonelb.decision.RequestClass;
import stonelb.decision.SlowStart;

/** The request table on a simulated clock: one final response each, one attempt in flight, none after its deadline. */
class RequestTableTest {
    private static final int READ = 0;
    private static final int LOG = 1;

    private double clock = 1000;
    private final List<Attempt> started = new ArrayList<>();
    private final List<Attempt> abandoned = new ArrayList<>();
    private final List<Double> added = new ArrayList<>();
    private final List<RuntimeException> faults = new ArrayList<>();
    private boolean abandonedAfterSend = true;
    private boolean connectorThrows;
    private final TimerQueue timers = new TimerQueue(new TimerQueue.Alarm() {
        @Override
        public double now() {
            return clock;
        }

        @Override
        public void wakeAt(double whenMs) {}
    });
    private final RequestTable requestTable = new RequestTable(
            new DecisionSettings(
                    1,
                    List.of(
                            new RequestClass(1000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000, 3),
                            new RequestClass(2000, Idempotency.AT_MOST_ONCE, DeduplicationScope.ALL, 5000, 2)),
                    List.of(new Plan(0, 0, 0, 0, 0, 1, 0, 1)),
                    new AttemptLimits(6, false, true, true, 1000),
                    new SlowStart(0.2, 10_000, 1500),
                    new CounterSettings(false, 50),
                    2,
                    false,
                    false,
                    1),
            7,
            timers,
            new EndpointConnector() {
                @Override
                public void send(Attempt attempt) {
                    if (connectorThrows) {
                        throw new IllegalStateException("a fault");
                    }
                    started.add(attempt);
                }

                @Override
                public boolean abandon(Attempt attempt) {
                    abandoned.add(attempt);
                    return abandonedAfterSend;
                }
            },
            (name, amount, keep) -> added.add(amount),
            faults::add);

    /** Records its final responses. */
    private static final class RecordingRequest extends ClientRequest {
        final List<String> responses = new ArrayList<>();
        boolean responseThrows;
        boolean clientWatched = true;

        RecordingRequest(RequestAttributes attributes) {
            super(attributes);
        }

        @Override
        protected boolean isClientWatched() {
            return clientWatched;
        }

        @Override
        protected void served(Response response) {
            responses.add("served");
            if (responseThrows) {
                throw new IllegalStateException("a fault of the frontend");
            }
        }

        @Override
        protected void rejected(double retryAfterMs) {
            responses.add("rejected");
        }

        @Override
        protected void failed(FailureReason reason) {
            responses.add("failed " + reason);
        }
    }

    private RecordingRequest submit(int type, double waitMs) {
        RecordingRequest request = new RecordingRequest(new RequestAttributes(type, 0, 5, clock + waitMs, 1, 1, false));
        requestTable.submit(request);
        return request;
    }

    private void listEndpoints(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            list.add(new Endpoint(i, EndpointState.READY, 0, 1, 0, 0));
        }
        requestTable.endpointsChanged(EndpointListType.SNAPSHOT, list);
    }

    private void advanceClock(double ms) {
        for (double end = clock + ms; clock < end; ) {
            clock = Math.min(end, clock + 1);
            timers.runDue();
        }
    }

    @Test
    void aResponseIsDeliveredOnce() {
        listEndpoints(2);
        RecordingRequest request = submit(READ, 4000);
        requestTable.attemptEnded(started.get(0), Outcome.OK, null);
        requestTable.attemptEnded(started.get(0), Outcome.RESET, null);
        advanceClock(5000);
        assertEquals(List.of("served"), request.responses);
        assertEquals(0, requestTable.openRequests());
    }

    @Test
    void aReadThatFailsIsRetriedElsewhereAndALogIsNot() {
        listEndpoints(2);
        RecordingRequest read = submit(READ, 4000);
        requestTable.attemptEnded(started.get(0), Outcome.RESET, null);
        assertEquals(2, started.size());
        assertTrue(started.get(0).endpoint() != started.get(1).endpoint());
        RecordingRequest log = submit(LOG, 7000);
        requestTable.attemptEnded(started.get(2), Outcome.RESET, null);
        assertEquals(List.of("failed ERROR"), log.responses);
        assertEquals(3, started.size());
        assertEquals(List.of(), read.responses);
    }

    @Test
    void aLogThatWasNotExecutedIsRetriedElsewhere() {
        listEndpoints(2);
        RecordingRequest log = submit(LOG, 7000);
        requestTable.attemptEnded(started.get(0), Outcome.CONNECT_FAILED, null);
        requestTable.attemptEnded(started.get(1), Outcome.OK, null);
        assertEquals(List.of("served"), log.responses);
    }

    @Test
    void aRequestWithoutAResultIsAnsweredBeforeTheDeadline() {
        listEndpoints(1);
        double startedAt = clock;
        RecordingRequest request = submit(LOG, 700);
        while (request.responses.isEmpty()) {
            advanceClock(1);
        }
        assertTrue(clock <= startedAt + 690, "answered after " + (clock - startedAt));
        assertEquals(1, started.size());
        advanceClock(100);
        assertTrue(abandoned.contains(started.get(0)), "the attempt in flight at the deadline is abandoned");
        assertEquals(1, request.responses.size());
    }

    @Test
    void noHedgedRequestIsEverInFlight() {
        listEndpoints(3);
        RecordingRequest request = submit(READ, 4000);
        advanceClock(4100);
        for (int i = 1; i < started.size(); i++) {
            assertTrue(
                    abandoned.contains(started.get(i - 1)),
                    "attempt " + i + " was started while another was in flight");
        }
        assertEquals(1, request.responses.size());
    }

    @Test
    void aQueuedAttemptIsNotSentToADrainingEndpointNorAfterTheResponse() {
        listEndpoints(1);
        RecordingRequest request = submit(READ, 4000);
        assertTrue(requestTable.maySend(started.get(0)));
        requestTable.endpointsChanged(
                EndpointListType.DELTA, List.of(new Endpoint(1, EndpointState.DRAINING, 0, 1, 0, 0)));
        assertFalse(requestTable.maySend(started.get(0)));
        requestTable.endpointsChanged(
                EndpointListType.DELTA, List.of(new Endpoint(1, EndpointState.READY, 0, 1, 0, 0)));
        assertTrue(requestTable.maySend(started.get(0)));
        requestTable.endpointsChanged(EndpointListType.SNAPSHOT, List.of());
        assertFalse(requestTable.maySend(started.get(0)), "an endpoint that a snapshot does not list is removed");
        requestTable.withdraw(request);
        listEndpoints(1);
        assertFalse(requestTable.maySend(started.get(0)));
    }

    @Test
    void aDisconnectedClientWithdrawsItsRequest() {
        listEndpoints(1);
        RecordingRequest request = submit(READ, 4000);
        requestTable.withdraw(request);
        assertEquals(List.of(started.get(0)), abandoned);
        advanceClock(5000);
        assertEquals(List.of(), request.responses);
        assertEquals(0, requestTable.openRequests());
    }

    @Test
    void anEngineFaultLeavesNoClientWithoutAResponse() {
        listEndpoints(1);
        connectorThrows = true;
        RecordingRequest request = submit(LOG, 700);
        assertEquals(1, faults.size());
        advanceClock(700);
        assertEquals(1, request.responses.size(), request.responses.toString());
        connectorThrows = false;
        submit(LOG, 700);
        assertEquals(1, started.size(), "the next request is served");
    }

    @Test
    void aResponseThatCannotBeGivenCostsNoOtherRequestItsOwn() {
        listEndpoints(2);
        RecordingRequest broken = submit(READ, 4000);
        RecordingRequest other = submit(READ, 4000);
        broken.responseThrows = true;
        requestTable.attemptEnded(started.get(0), Outcome.OK, null);
        requestTable.attemptEnded(started.get(1), Outcome.OK, null);
        assertEquals(List.of("served"), broken.responses);
        assertEquals(List.of("served"), other.responses);
        assertEquals(1, faults.size());
        assertEquals(0, requestTable.openRequests());
        assertEquals("served", submitAndServe().responses.get(0), "the slots of both are free again");
    }

    private RecordingRequest submitAndServe() {
        RecordingRequest request = submit(READ, 4000);
        requestTable.attemptEnded(started.get(started.size() - 1), Outcome.OK, null);
        return request;
    }

    @Test
    void noAttemptIsStartedOrSentWhileADisconnectOfTheClientCouldGoUnnoticed() {
        listEndpoints(2);
        RecordingRequest request = submit(READ, 4000);
        request.clientWatched = false;
        assertFalse(requestTable.maySend(started.get(0)));
        requestTable.attemptEnded(started.get(0), Outcome.REJECTED, null);
        assertEquals(1, started.size(), "no retry");
        assertEquals(List.of("rejected"), request.responses);
    }

    @Test
    void allOpenRequestsAreCompletedAndALogThatMayHaveRunIsNotRejected() {
        listEndpoints(2);
        RecordingRequest read = submit(READ, 4000);
        RecordingRequest log = submit(LOG, 7000);
        requestTable.completeAll();
        assertEquals(List.of("rejected"), read.responses);
        assertEquals(List.of("failed ERROR"), log.responses);
        advanceClock(8000);
        assertEquals(1, read.responses.size() * log.responses.size());
    }

    @Test
    void timersRunInOrderAndThoseScheduledMeanwhileWait() {
        List<Long> ran = new ArrayList<>();
        TimerQueue own = new TimerQueue(new TimerQueue.Alarm() {
            @Override
            public double now() {
                return clock;
            }

            @Override
            public void wakeAt(double whenMs) {}
        });
        Random random = new Random(9);
        for (int i = 0; i < 500; i++) {
            int at = random.nextInt(200);
            own.scheduleAfter(at, (now, token) -> ran.add(token), at);
        }
        own.scheduleAfter(0, (now, token) -> own.scheduleAfter(0, (n, t) -> ran.add(-1L), 0), 0);
        clock += 100;
        own.runDue();
        assertEquals(ran.stream().sorted().toList(), ran);
        assertTrue(ran.stream().allMatch(t -> t >= 0 && t <= 100) && ran.size() > 100);
        own.runDue();
        assertEquals(-1, ran.get(ran.size() - 1));
    }
}
