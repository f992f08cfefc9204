package stonelb.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import stonelb.core.Attempt;
import stonelb.core.ClientRequest;
import stonelb.core.EndpointConnector;
import stonelb.core.FailureReason;
import stonelb.core.RequestAttributes;
import stonelb.core.RequestTable;
import stonelb.core.Response;
import stonelb.core.TimerQueue;
import stonelb.decision.AttemptLimits;
import stonelb.decision.CounterSettings;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DeduplicationScope;
import stonelb.decision.Idempotency;
import stonelb.decision.Outcome;
import stonelb.decision.Plan;
import stonelb.decision.RequestClass;
import stonelb.decision.SlowStart;
import stonelb.gateway.endpoint.EndpointConnections;
import stonelb.io.EventLoop;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;
import stonelb.standins.ObjectGraphSize;

/**
 * Detects state that accumulates while endpoints are replaced continuously and every customer sends a single request.
 */
class EndpointChurnTest {
    private static final int ROUNDS = 400;
    private static final int ROUND_MS = 1000;
    private static final InetSocketAddress DISCOVERY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private double clock = 1_000_000;
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Long> counterNames = new ArrayList<>();
    private final TimerQueue timers = new TimerQueue(new TimerQueue.Alarm() {
        @Override
        public double now() {
            return clock;
        }

        @Override
        public void wakeAt(double whenMs) {}
    });
    private final RequestTable requests = new RequestTable(
            new DecisionSettings(
                    2,
                    List.of(new RequestClass(1000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000, 3)),
                    List.of(new Plan(2, 8, 0, 4, 16, 1, 0, 1)),
                    new AttemptLimits(6, false, true, true, 1000),
                    new SlowStart(0.2, 1000, 1500),
                    new CounterSettings(true, 50),
                    2,
                    false,
                    false,
                    1),
            7,
            timers,
            new EndpointConnector() {
                @Override
                public void send(Attempt attempt) {
                    attempts.add(attempt);
                }

                @Override
                public boolean abandon(Attempt attempt) {
                    return !attempts.remove(attempt);
                }
            },
            (name, amount, keepMs) -> counterNames.add(name),
            e -> {
                throw e;
            });

    private static final class OneTimeRequest extends ClientRequest {
        OneTimeRequest(RequestAttributes attributes) {
            super(attributes);
        }

        @Override
        protected void served(Response response) {}

        @Override
        protected void rejected(double retryAfterMs) {}

        @Override
        protected void failed(FailureReason reason) {}
    }

    private static String endpointEntry(int number, String status) {
        return "{\"name\":\"s-" + number + "\",\"address\":\"127.0.0.1:" + (6000 + number % 5) + "\",\"status\":\""
                + status + "\"}";
    }

    private static byte[] endpointListJson(int index, String... entries) {
        return ("{\"index\":" + index + ",\"snapshot\":" + (index == 0) + ",\"endpoints\":[" + String.join(",", entries)
                        + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private int[] countObjects(EventLoop loop) throws MalformedInputException, IllegalAccessException {
        EndpointConnections connections = new EndpointConnections(loop, new RateLimitedLog(), 250, 30_000, 64, 0);
        EndpointList endpointList = new EndpointList(
                List.of("a"),
                new EndpointStartTimes(() -> clock, () -> clock),
                requests::endpointsChanged,
                connections);
        connections.start(requests);
        endpointList.apply(endpointListJson(0, endpointEntry(0, "in_service")), DISCOVERY);
        int[] objectCounts = new int[2];
        for (int round = 1; round <= ROUNDS; round++) {
            endpointList.apply(
                    endpointListJson(round, endpointEntry(round, "in_service"), endpointEntry(round - 1, "terminated")),
                    DISCOVERY);
            for (int i = 0; i < 5; i++) {
                requests.submit(
                        new OneTimeRequest(new RequestAttributes(0, 0, 1000L * round + i, clock + 900, 1, 2, false)));
            }
            for (Attempt attempt : List.copyOf(attempts)) {
                attempts.remove(attempt);
                requests.attemptEnded(attempt, Outcome.OK, null);
            }
            for (Long name : List.copyOf(counterNames)) {
                counterNames.remove(name);
                requests.counterAnswered(name, Outcome.OK, 2, 1);
            }
            for (double end = clock + ROUND_MS; clock < end; clock += 50) {
                timers.runDue();
            }
            if (round % (ROUNDS / 2) == 0) {
                connections.onTimer(clock, 0);
                objectCounts[round / (ROUNDS / 2) - 1] = ObjectGraphSize.of(endpointList);
            }
        }
        return objectCounts;
    }

    @Test
    void replacedEndpointsAndOneTimeCustomersLeaveNoState() throws Exception {
        EventLoop loop = new EventLoop(new RateLimitedLog());
        CompletableFuture<int[]> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(countObjects(loop));
            } catch (Exception | Error e) {
                done.completeExceptionally(e);
            }
        });
        int[] objectCounts = done.get(60, TimeUnit.SECONDS);
        assertTrue(
                objectCounts[1] <= objectCounts[0] + 30,
                "objects after half of the rounds " + objectCounts[0] + ", after all " + objectCounts[1]);
    }
}
