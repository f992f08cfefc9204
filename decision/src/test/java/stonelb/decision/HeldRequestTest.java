package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Requests that are held until the counter has answered: each has a pending call, whose answer decides on it. */
class HeldRequestTest {
    private static final long SEEDS = 100;
    private static final int STEPS = 60;

    /** The parameters: rate, burst, attempts in flight, ceiling's rate and burst, price, value and cost over quota. */
    private static final List<Plan> PLANS = List.of(
            new Plan(2, 8, 0, 4.7, 19, 1, 0, 1), // leases are within the ceiling
            new Plan(10, 10, 0, 1, 4, 1, 0, 1), // the ceiling is below the quota
            new Plan(2, 4, 0, 2, 4, 1, 0.2, 0), // requests beyond the quota are admitted
            new Plan(0, 0, 3, 2, 4, 1, 0, 1), // a cap on attempts in flight
            new Plan(1, 6, 0, 0, 0, 1, 0, 1));

    /** Sizes that differ from whole units by less than, about and more than the tolerance of the ceiling. */
    private static final double[] UNITS = {0.5, 0.9985, 0.9995, 0.9999, 1, 1.0005, 1.9995, 2, 3};

    /** The ceiling's bucket holds one unit, which exceeds the request by 0.001 units at most. */
    @Test
    void aRequestThatTheCeilingJustAllowsIsNotHeldWithoutACall() {
        for (double units : new double[] {1, 0.99999, 0.9995, 0.999}) {
            EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, PLANS.get(1)).withEndpoints(10);
            script.request(units);
            assertEquals(
                    1,
                    script.sentRequests() + script.countActions("refuse"),
                    units + " units: the request is undecided");
            assertEquals(1, script.sentRequests(), units + " units are within the ceiling");
        }
    }

    @Test
    void noRequestIsHeldOnceEveryCallIsAnswered() {
        int held = 0;
        for (Plan plan : PLANS) {
            for (long seed = 0; seed < SEEDS; seed++) {
                held += heldInRandomScript(plan, seed);
            }
        }
        assertTrue(held > 1000, "too few requests were held to be conclusive: " + held);
    }

    /** Plays random requests of one customer; returns how many of them were held at their arrival. */
    private static int heldInRandomScript(Plan plan, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int gateways = random.nextBoolean() ? 2 : 20;
        EngineScript script = new EngineScript(EngineScript.IDEMPOTENT, plan, 0, gateways).withEndpoints(40);
        int held = 0;
        for (int step = 0; step < STEPS; step++) {
            script.advance(random.nextInt(3) == 0 ? random.nextInt(2000) : random.nextInt(20));
            long id = script.request(UNITS[random.nextInt(UNITS.length)], 5, gateways);
            held += isDecided(script, id) ? 0 : 1;
            answerAllCalls(script, random);
            assertTrue(isDecided(script, id), "undecided: request " + id + " of seed " + seed + " under " + plan);
            long endpoint = script.endpointOf(id);
            if (endpoint != 0 && random.nextBoolean()) {
                script.endAttempt(id, 0, endpoint, Outcome.OK, 50);
                answerAllCalls(script, random);
            }
        }
        return held;
    }

    private static boolean isDecided(EngineScript script, long id) {
        return script.countActions("forward " + id + " ") + script.countActions("refuse " + id + " ") > 0;
    }

    private static void answerAllCalls(EngineScript script, SplittableRandom random) {
        while (script.unansweredCounterCalls() > 0) {
            int choice = random.nextInt(10);
            if (choice < 8) {
                script.answerCounter(random.nextInt(3));
            } else {
                script.answerCounter(choice == 8 ? Outcome.REJECTED : Outcome.RESET);
            }
        }
    }
}
