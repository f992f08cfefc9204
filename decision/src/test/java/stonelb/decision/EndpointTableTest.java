package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The endpoint table and the state of a single endpoint. */
class EndpointTableTest {
    private static final SlowStart SLOW_START = new SlowStart(0.2, 10_000, 2000);

    private final EndpointTable table = new EndpointTable(
            new DecisionSettings(
                    1,
                    List.of(EngineScript.IDEMPOTENT),
                    List.of(EngineScript.UNLIMITED),
                    new AttemptLimits(1, false, false, true, 1000),
                    SLOW_START,
                    new CounterSettings(true, 50),
                    4,
                    false,
                    false,
                    4),
            () -> 0.5);

    private static Endpoint endpoint(long id, EndpointState state, double startedAtMs, double weight) {
        return new Endpoint(id, state, startedAtMs, weight, 0, 0);
    }

    private TrackedEndpoint tracked(long id) {
        return table.all().stream()
                .filter(endpoint -> endpoint.id() == id)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aDeltaKeepsTheEndpointsThatItDoesNotContain() {
        table.update(
                0,
                EndpointListType.SNAPSHOT,
                List.of(endpoint(1, EndpointState.READY, 0, 1), endpoint(2, EndpointState.READY, 0, 3)));
        assertEquals(2, table.readyCount());
        assertEquals(2, table.meanWeight());
        table.update(0, EndpointListType.DELTA, List.of(endpoint(1, EndpointState.DRAINING, 0, 1)));
        assertEquals(1, table.readyCount());
        assertEquals(3, table.meanWeight());
        table.update(0, EndpointListType.SNAPSHOT, List.of(endpoint(1, EndpointState.DRAINING, 0, 1)));
        assertEquals(0, table.readyCount());
        assertEquals(1, table.meanWeight());
        table.tick(0, 50);
        assertEquals(1, table.all().size());
    }

    @Test
    void aRemovedEndpointStaysWhileAnAttemptIsInFlight() {
        table.update(0, EndpointListType.SNAPSHOT, List.of(endpoint(1, EndpointState.READY, 0, 1)));
        tracked(1).attemptSent();
        table.update(0, EndpointListType.SNAPSHOT, List.of());
        table.tick(0, 50);
        assertEquals(1, table.all().size());
        tracked(1).attemptEnded();
        table.tick(0, 50);
        assertEquals(0, table.all().size());
    }

    @Test
    void capacityGrowsWhileAnEndpointIsWarmingUp() {
        table.update(
                1000,
                EndpointListType.SNAPSHOT,
                List.of(endpoint(1, EndpointState.READY, 1000, 1), endpoint(2, EndpointState.READY, 0, 1)));
        assertEquals(1.2, table.reachableCapacity(1000), 1e-12);
        assertEquals(1.6, table.reachableCapacity(6000), 1e-12);
        assertEquals(2, table.reachableCapacity(11_000), 1e-12);
        tracked(2).unreachableUntil(12_000);
        assertEquals(1, table.reachableCapacity(11_000), 1e-12);
    }

    @Test
    void theSendRateIsThatOfWarmEndpoints() {
        table.update(
                1000,
                EndpointListType.SNAPSHOT,
                List.of(endpoint(1, EndpointState.READY, 1000, 1), endpoint(2, EndpointState.READY, 0, 1)));
        assertEquals(0, table.sendIntervalMs());
        tracked(1).attemptSent();
        tracked(2).attemptSent();
        table.tick(1000, 0);
        assertEquals(1 / EndpointHealth.SEND_RATE_WINDOW_MS, table.warmSendsPerMs());
        assertEquals(EndpointHealth.SEND_RATE_WINDOW_MS, table.sendIntervalMs());
    }

    @Test
    void aBudgetSavesNoMoreThanTheNextAttemptAndALimit() {
        TrackedEndpoint endpoint = new TrackedEndpoint(1, SLOW_START, 1);
        endpoint.restart(1000, 1000, 0.5);
        assertEquals(0.75, endpoint.refillBudget(1250, 0.001, 0.25), 1e-12);
        assertEquals(1.25, endpoint.refillBudget(5750, 0.001, 0.25), 1e-12);
        endpoint.attemptSent();
        assertEquals(0.25, endpoint.refillBudget(5750, 0.001, 0.25), 1e-12);
    }

    @Test
    void aRestartClearsFailures() {
        TrackedEndpoint endpoint = new TrackedEndpoint(1, SLOW_START, 2);
        endpoint.countFailure(0);
        endpoint.ejectUntil(500);
        endpoint.ejectUntil(1, 700);
        endpoint.unreachableUntil(500);
        assertEquals(700, endpoint.ejectedUntilMs(1));
        assertFalse(endpoint.isReachable(400));
        assertTrue(endpoint.isRestartedBy(endpoint(1, EndpointState.READY, 100, 1)));
        assertFalse(endpoint.isRestartedBy(endpoint(1, EndpointState.DRAINING, 100, 1)));
        endpoint.restart(400, 100, 0);
        assertEquals(0, endpoint.failures(0));
        assertEquals(0, endpoint.ejectedUntilMs(0));
        assertTrue(endpoint.isReachable(400));
        assertFalse(endpoint.isRestartedBy(endpoint(1, EndpointState.READY, 100, 1)));
    }
}
