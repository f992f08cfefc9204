package stonelb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Cancelled timers leave the queue at once, and the others still run in the order in which they are due. */
class TimerQueueTest {
    private static final int TIMERS = 200;

    private double clock;
    private final TimerQueue timers = new TimerQueue(new TimerQueue.Alarm() {
        @Override
        public double now() {
            return clock;
        }

        @Override
        public void wakeAt(double whenMs) {}
    });

    @Property(seed = "46", tries = 200)
    void timersThatAreNotCancelledRunInOrder(@ForAll long seed) {
        clock = 0;
        Random random = new Random(seed);
        List<Long> ran = new ArrayList<>();
        Map<Long, Double> expected = new LinkedHashMap<>();
        List<TimerQueue.Timer> scheduled = new ArrayList<>();
        for (long token = 0; token < TIMERS; token++) {
            double dueAt = random.nextInt(50);
            expected.put(token, dueAt);
            scheduled.add(timers.scheduleAt(dueAt, (now, id) -> ran.add(id), token));
            if (random.nextInt(3) == 0) {
                int cancelled = random.nextInt(scheduled.size());
                timers.cancel(scheduled.get(cancelled));
                timers.cancel(scheduled.get(cancelled));
                expected.remove((long) cancelled);
            }
        }
        assertEquals(expected.size(), timers.size());
        clock = 50;
        timers.runDue();
        List<Long> inOrder = expected.entrySet().stream()
                .sorted(Comparator.comparingDouble(Map.Entry::getValue))
                .map(Map.Entry::getKey)
                .toList();
        assertEquals(inOrder, ran);
        scheduled.forEach(timers::cancel);
        assertEquals(0, timers.size());
    }
}
