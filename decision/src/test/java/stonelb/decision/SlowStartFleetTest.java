package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The attempts of many gateways at a warming endpoint, with a budget of less than one per gateway. */
class SlowStartFleetTest {
    private static final int[] GATEWAY_COUNTS = {20, 30, 100};
    private static final double STEP_MS = 50;
    private static final double REQUEST_PROBABILITY = 0.1; // per gateway and step
    private static final double REQUESTS_PER_S = 3; // at a warm endpoint
    private static final double UTILIZATION = 0.8; // of its capacity
    private static final double LATENCY_MS = 640; // of an objective of 1000: a cold endpoint would miss it
    private static final double BUDGET_FACTOR = 2;
    private static final SlowStart SLOW_START = new SlowStart(0.2, 20_000, 1000);

    private record SentRequest(long id, double atMs) {}

    /** Fails if gateways save up budget while the endpoint is too cold for any request: they spend it in one burst. */
    @Test
    void allGatewaysTogetherKeepWithinTheBudgetInEveryWindow() {
        for (int gateways : GATEWAY_COUNTS) {
            int warmEndpoints = (int) (gateways * REQUEST_PROBABILITY / STEP_MS * 1000 / REQUESTS_PER_S);
            List<Double> sends = sendTimes(gateways, warmEndpoints);
            double capacityPerMs = REQUESTS_PER_S / 1000 / UTILIZATION; // capacity of a warm endpoint
            for (int i = 0; i < sends.size(); i++) {
                double windowStartMs = sends.get(i);
                double capacityShare = Math.min(
                        1,
                        SLOW_START.initialCapacity()
                                + (1 - SLOW_START.initialCapacity()) * windowStartMs / SLOW_START.rampMs());
                double budget = BUDGET_FACTOR * capacityShare * capacityPerMs * SLOW_START.overloadMs();
                long sent = sends.stream()
                        .filter(sentAtMs ->
                                sentAtMs >= windowStartMs && sentAtMs < windowStartMs + SLOW_START.overloadMs())
                        .count();
                assertTrue(
                        sent <= budget + 2 * Math.sqrt(budget) + 2,
                        gateways + " gateways send " + sent + " within " + SLOW_START.overloadMs() + " ms from "
                                + windowStartMs + " on, where " + budget + " are allowed");
            }
            assertTrue(!sends.isEmpty(), gateways + " gateways send nothing to the warming endpoint");
        }
    }

    /** The times of the attempts at the cold endpoint, from its start on. */
    private static List<Double> sendTimes(int gateways, int warmEndpoints) {
        List<EngineScript> scripts = new ArrayList<>();
        List<Deque<SentRequest>> pendingByGateway = new ArrayList<>();
        for (int rank = 0; rank < gateways; rank++) {
            scripts.add(
                    new EngineScript(EngineScript.IDEMPOTENT, EngineScript.UNLIMITED, rank, gateways, true, SLOW_START)
                            .withEndpoints(warmEndpoints));
            pendingByGateway.add(new ArrayDeque<>());
        }
        SplittableRandom random = new SplittableRandom(11);
        List<Double> sends = new ArrayList<>();
        double startMs = 10_000;
        double endMs = startMs + SLOW_START.rampMs();
        for (double timeMs = 0; timeMs < endMs; timeMs += STEP_MS) {
            for (int gateway = 0; gateway < gateways; gateway++) {
                EngineScript script = scripts.get(gateway);
                if (timeMs == startMs) {
                    script.updateEndpoints(
                            EngineScript.endpoint(warmEndpoints + 1, EndpointState.READY, script.now, 0));
                }
                for (Deque<SentRequest> pending = pendingByGateway.get(gateway);
                        !pending.isEmpty() && pending.peek().atMs <= timeMs - LATENCY_MS; ) {
                    SentRequest sent = pending.poll();
                    script.endAttempt(sent.id, 0, script.endpointOf(sent.id), Outcome.OK, LATENCY_MS);
                }
                if (random.nextDouble() < REQUEST_PROBABILITY) {
                    long id = script.request(1);
                    if (script.endpointOf(id) > 0) {
                        pendingByGateway.get(gateway).add(new SentRequest(id, timeMs));
                    }
                    if (script.endpointOf(id) == warmEndpoints + 1) {
                        sends.add(timeMs - startMs);
                    }
                }
                script.advance(STEP_MS);
            }
        }
        return sends;
    }
}
