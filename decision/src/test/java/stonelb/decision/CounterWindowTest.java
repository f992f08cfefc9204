package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CounterWindowTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double COUNTER_KEEP_MS = 60_000;

    /** Gateways that started before and after the step have to share a customer's counter. */
    @Test
    void aStepOfTheWallClockByAnHourChangesNoNameAndNoAge() {
        Random random = new Random(1);
        for (int i = 0; i < 1000; i++) {
            CounterWindow window = new CounterWindow(random.nextLong(1L << 33));
            double lengthMs = 20_000 + random.nextInt(30_000);
            double now = 1.7e12 + random.nextInt((int) (10 * HOUR_MS));
            for (double step : new double[] {-HOUR_MS, HOUR_MS}) {
                assertEquals(
                        window.counterName(window.index(now, lengthMs)),
                        window.counterName(window.index(now + step, lengthMs)));
                assertEquals(window.ageMs(now, lengthMs), window.ageMs(now + step, lengthMs), 1e-3);
            }
        }
    }

    @Test
    void windowsFollowOneAnotherWithoutARepeatWhileTheCounterKeepsAName() {
        CounterWindow window = new CounterWindow(7);
        double lengthMs = 23_000;
        Set<Long> names = new HashSet<>();
        long name = window.counterName(window.index(0, lengthMs));
        double changedAt = 0;
        for (double now = 0; now < 2 * HOUR_MS; now += 100) {
            long present = window.counterName(window.index(now, lengthMs));
            if (present != name) {
                assertTrue(now - changedAt <= lengthMs + 100, "a window lasts its length at most");
                assertTrue(window.ageMs(now, lengthMs) < 100, "and begins at age 0");
                changedAt = now;
                name = present;
                if (now > HOUR_MS - COUNTER_KEEP_MS && now < HOUR_MS + COUNTER_KEEP_MS) {
                    assertTrue(names.add(present), "the name of " + now + " was used shortly before");
                }
            }
        }
        assertTrue(names.size() >= 4);
    }
}
