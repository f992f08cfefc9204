package stonelb.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import org.junit.jupiter.api.Test;

/** Guards against many connections with much input that together keep the event loop from reading, timers and output. */
class DecodeQueueTest {
    private static final int CONNECTIONS = 300;
    private static final int TURNS = 20;
    private static final double LONGEST_MESSAGE_MS = 3;

    private final ArrayDeque<Runnable> currentIteration = new ArrayDeque<>();
    private final ArrayDeque<Runnable> nextIteration = new ArrayDeque<>();
    private final int[] turnsTaken = new int[CONNECTIONS];
    private double now;
    private final DecodeQueue queue = new DecodeQueue(() -> now, nextIteration::add);

    private void decode(int connection, Executor loop) {
        now += LONGEST_MESSAGE_MS;
        if (++turnsTaken[connection] < TURNS) {
            queue.add(() -> decode(connection, loop), loop);
        }
    }

    /** A decoder that throws must not stop the decoding of the other connections. */
    @Test
    void othersAreDecodedAfterOneHasThrown() {
        queue.add(
                () -> {
                    throw new IllegalStateException("thrown by a decoder");
                },
                currentIteration::add);
        queue.add(() -> turnsTaken[0]++, currentIteration::add);
        assertThrows(IllegalStateException.class, () -> currentIteration.poll().run());
        nextIteration.poll().run();
        assertEquals(1, turnsTaken[0]);
    }

    @Test
    void connectionsTakeTurnsWithinTheTimeOfAnIteration() {
        for (int i = 0; i < CONNECTIONS; i++) {
            int connection = i;
            queue.add(() -> decode(connection, currentIteration::add), currentIteration::add);
        }
        while (!currentIteration.isEmpty() || !nextIteration.isEmpty()) {
            double startedAt = now;
            currentIteration.addAll(nextIteration);
            nextIteration.clear();
            while (!currentIteration.isEmpty()) {
                currentIteration.poll().run();
            }
            double takenMs = now - startedAt;
            assertTrue(
                    takenMs < DecodeQueue.MAX_MS_PER_ITERATION + LONGEST_MESSAGE_MS, "one iteration took " + takenMs);
            int mostTurns = turnsTaken[0]; // the first connection is never behind another
            for (int taken : turnsTaken) {
                assertTrue(taken >= mostTurns - 1, "a connection waits for more than one turn of another");
            }
        }
        for (int taken : turnsTaken) {
            assertEquals(TURNS, taken);
        }
    }
}
