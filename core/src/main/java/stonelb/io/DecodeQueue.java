package stonelb.io;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;

/**
 * The connections with input to decode, over all listeners of an event loop. They take turns, and all together use a
 * bounded part of an iteration of the loop, so that neither many connections nor expensive messages keep the loop from
 * its other work: reading, timers and responses.
 *
 * <p>A turn ends after a message once {@link #TURN_MS} have passed. The bound therefore rests on a second one, which each
 * decoder keeps: the work for a message is linear in its size, and the size is limited.
 */
public final class DecodeQueue {
    /** Maximum time for one connection, if others wait. */
    public static final double TURN_MS = 0.25;

    /** Maximum time for all connections before the event loop reads again: another client's close may be unread. */
    static final double MAX_MS_PER_ITERATION = 10;

    private final TimeSource clock;
    private final NextIteration nextIteration;
    private final ArrayDeque<Runnable> decoders = new ArrayDeque<>();
    private boolean scheduled;

    /** A clock in milliseconds. */
    interface TimeSource {
        double now();
    }

    /** Runs a task after the event loop has read all connections once more. */
    interface NextIteration {
        void run(Runnable task);
    }

    DecodeQueue(TimeSource clock, NextIteration nextIteration) {
        this.clock = clock;
        this.nextIteration = nextIteration;
    }

    /**
     * Appends a connection that is not in the queue.
     *
     * @param decoder decodes the connection's input for one turn, and appends the connection again if input is left
     * @param loop runs tasks in the current iteration of the event loop
     */
    public void add(Runnable decoder, Executor loop) {
        decoders.add(decoder);
        if (!scheduled) {
            scheduled = true;
            loop.execute(this::decodeInTurn);
        }
    }

    private void decodeInTurn() {
        double endsAt = clock.now() + MAX_MS_PER_ITERATION;
        try {
            while (!decoders.isEmpty() && clock.now() < endsAt) {
                decoders.poll().run();
            }
        } finally { // whatever one decoder throws, the others get their turn
            scheduled = !decoders.isEmpty();
            if (scheduled) {
                nextIteration.run(this::decodeInTurn);
            }
        }
    }
}
