package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import stonelb.decision.DecisionSettings;
import stonelb.decision.EndpointState;
import stonelb.discovery.AddressListener;
import stonelb.discovery.DiscoveryClient;
import stonelb.discovery.EndpointList;
import stonelb.discovery.EndpointStartTimes;
import stonelb.gateway.testing.EventLoopTasks;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;
import stonelb.standins.StubServer;

/**
 * A change in discovery must reach the gateway within 6 s, however single calls to discovery fail. The test advances
 * the clock in small steps, so that timeouts and backoffs of the watch pass quickly. The wall clock jumps by two
 * hours at each reading, which must not affect any timeout.
 */
class EndpointListPropagationTest {
    private static final double PROPAGATION_LIMIT_MS = 6000;
    private static final double STEP_MS = 25;
    private static final double HOUR_MS = 3_600_000;
    private static final int GATEWAYS = 200;

    /** The ways in which a call to discovery fails. */
    private enum ResponseFault {
        SILENT,
        TRUNCATED,
        SLOW_BODY,
        RESET,
        UNAVAILABLE,
        GONE,
        MALFORMED,
        DUPLICATED
    }

    private volatile double clock = 1_000_000;
    private volatile boolean draining; // the change to propagate
    private final Deque<ResponseFault> faults =
            new ArrayDeque<>(); // one for each of the next calls; later calls succeed
    private final Queue<Integer> remainingFaults =
            new ConcurrentLinkedQueue<>(); // number of calls that are still to fail, after each call
    private final Queue<EndpointState> reportedStates = new ConcurrentLinkedQueue<>();
    private final Semaphore events = new Semaphore(0);
    private boolean wallClockAhead;
    private EventLoop loop;

    @AfterEach
    void stop() {
        loop.shutdown();
    }

    /** Returns a time alternately an hour ahead of the loop's clock and an hour behind it. */
    private double steppingWallClock() {
        wallClockAhead = !wallClockAhead;
        return clock + (wallClockAhead ? HOUR_MS : -HOUR_MS);
    }

    private String endpointListJson() {
        return "{\"index\":" + (draining ? 2 : 1) + ",\"snapshot\":true,\"endpoints\":[{\"name\":\"s\",\"address\":"
                + "\"127.0.0.1:1\",\"status\":\"" + (draining ? "terminating" : "in_service") + "\"}]}";
    }

    private ResponseFault nextFault() {
        synchronized (faults) {
            ResponseFault fault = faults.poll();
            remainingFaults.add(faults.size());
            events.release();
            return fault;
        }
    }

    private void serveDiscovery(InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            String target = StubServer.readHttp(in).target();
            ResponseFault fault = nextFault();
            String completeResponse = StubServer.httpResponse(200, "", endpointListJson());
            if (fault == null) {
                int waitMs = target.contains("wait=") ? Integer.parseInt(target.replaceAll(".*wait=", "")) : 0;
                boolean wasDraining = draining;
                for (double end = clock + waitMs; clock < end && wasDraining == draining; ) {
                    awaitClockStep();
                }
                StubServer.write(out, StubServer.httpResponse(200, "", endpointListJson()));
                continue;
            }
            switch (fault) {
                case SILENT -> in.read(); // returns when the watch closes the connection
                case TRUNCATED -> {
                    StubServer.write(out, completeResponse.substring(0, completeResponse.length() / 2));
                    in.read();
                }
                case SLOW_BODY -> {
                    StubServer.write(out, "HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n{");
                    while (true) {
                        awaitClockStep();
                        StubServer.write(out, " ");
                    }
                }
                case RESET -> throw new IOException("closes the connection");
                case UNAVAILABLE -> StubServer.write(out, StubServer.httpResponse(503, "", "busy"));
                case GONE -> StubServer.write(out, StubServer.httpResponse(410, "", "gone"));
                case MALFORMED -> StubServer.write(out, "garbage\r\n\r\n");
                default -> StubServer.write(out, completeResponse + completeResponse);
            }
        }
    }

    /**
     * Advances the clock until the condition holds, with a short wait for socket I/O at each step; returns the
     * elapsed time.
     */
    private double advanceUntil(BooleanSupplier condition) throws Exception {
        double startedAt = clock;
        while (!condition.getAsBoolean()) {
            assertTrue(clock < startedAt + 120_000, "timed out");
            synchronized (this) {
                clock += STEP_MS;
                notifyAll();
            }
            EventLoopTasks.run(loop, () -> loop.timers().runDue());
            events.tryAcquire(4, TimeUnit.MILLISECONDS);
        }
        return clock - startedAt;
    }

    /** Waits until the clock is advanced. */
    private synchronized void awaitClockStep() throws InterruptedException {
        for (double now = clock; now == clock; ) {
            wait();
        }
    }

    /**
     * Makes the change once the last of the failing calls has arrived; returns the time until the gateway applies it.
     */
    private double propagationDelayAfter(ResponseFault fault, int failedCalls, boolean shared) throws Exception {
        draining = false;
        remainingFaults.clear();
        reportedStates.clear();
        loop = new EventLoop(new RateLimitedLog(line -> {}), () -> clock);
        try (StubServer discovery = new StubServer(this::serveDiscovery)) {
            EndpointList endpointList = new EndpointList(
                    List.of(),
                    new EndpointStartTimes(() -> clock, this::steppingWallClock),
                    (type, endpoints) -> {
                        endpoints.forEach(endpoint -> reportedStates.add(endpoint.state()));
                        events.release();
                    },
                    new AddressListener() {
                        @Override
                        public void addressChanged(
                                long endpointId,
                                String name,
                                InetSocketAddress address,
                                boolean ready,
                                double startedAtMs) {}

                        @Override
                        public void retainOnly(Set<Long> endpointIds) {}
                    });
            DecisionSettings settings =
                    new DecisionSettings(GATEWAYS, List.of(), List.of(), null, null, null, 2, shared, false, 1);
            loop.execute(() -> new DiscoveryClient(loop, new RateLimitedLog(line -> {}), endpointList, settings, 3)
                    .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), discovery.port()), () -> {}));
            advanceUntil(() -> reportedStates.contains(EndpointState.READY));
            synchronized (faults) {
                faults.addAll(Collections.nCopies(failedCalls, fault));
            }
            remainingFaults.clear();
            advanceUntil(() -> remainingFaults.contains(0));
            draining = true;
            return advanceUntil(() -> reportedStates.contains(EndpointState.DRAINING));
        } finally {
            loop.shutdown();
        }
    }

    @Test
    void changePropagatesInTimeAfterAnyFailedCall() throws Exception {
        for (ResponseFault fault : ResponseFault.values()) {
            for (boolean shared : new boolean[] {false, true}) {
                double delayMs = propagationDelayAfter(fault, 1, shared);
                assertTrue(
                        delayMs < PROPAGATION_LIMIT_MS,
                        fault + (shared ? ", shared discovery" : ", local agent") + ": " + delayMs + " ms");
            }
        }
    }

    /** A backoff that grew during an outage must not delay the next change. */
    @Test
    void changePropagatesInTimeAfterLongOutage() throws Exception {
        for (ResponseFault fault : List.of(ResponseFault.SILENT, ResponseFault.UNAVAILABLE)) {
            for (boolean shared : new boolean[] {false, true}) {
                double delayMs = propagationDelayAfter(fault, 12, shared);
                assertTrue(
                        delayMs < PROPAGATION_LIMIT_MS,
                        fault + (shared ? ", shared discovery" : ", local agent") + ": " + delayMs + " ms");
            }
        }
    }
}
