package stonelb.core;

import java.util.Arrays;

/**
 * All timers of a process, in one binary heap that is driven by a single alarm. Timers due at the same time fire in the
 * order in which they were scheduled.
 */
public final class TimerQueue {
    private static final int INITIAL_CAPACITY = 64;
    private static final int NOT_SCHEDULED = -1;

    /** The clock and the alarm of an event loop; a later call of {@link #wakeAt} replaces an earlier one. */
    public interface Alarm {

        /** The time in milliseconds. */
        double now();

        /** Requests a call of {@link TimerQueue#runDue} at a time on that clock. */
        void wakeAt(double whenMs);
    }

    /** A scheduled timer, by which it can be cancelled. */
    public static final class Timer {
        private final double dueAt;
        private final long sequence;
        private final TimerCallback callback;
        private final long token;

        /** Its position in the heap, or {@link #NOT_SCHEDULED}. */
        private int index = NOT_SCHEDULED;

        private Timer(double dueAt, long sequence, TimerCallback callback, long token) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.callback = callback;
            this.token = token;
        }

        private boolean isBefore(Timer other) {
            return dueAt < other.dueAt || (dueAt == other.dueAt && sequence < other.sequence);
        }
    }

    private final Alarm alarm;
    private Timer[] heap = new Timer[INITIAL_CAPACITY];
    private int size;
    private long nextSequence;
    private double nextWakeAt = Double.MAX_VALUE;

    /** Creates an empty queue. */
    public TimerQueue(Alarm alarm) {
        this.alarm = alarm;
    }

    /** The time in milliseconds on the clock of the alarm. */
    public double now() {
        return alarm.now();
    }

    /** Schedules a timer; a negative delay counts as 0. */
    public Timer scheduleAfter(double delayMs, TimerCallback callback, long token) {
        return scheduleAt(now() + Math.max(0, delayMs), callback, token);
    }

    /** Schedules a timer; {@code token} is passed to the callback. */
    public Timer scheduleAt(double dueAt, TimerCallback callback, long token) {
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        Timer timer = new Timer(dueAt, nextSequence++, callback, token);
        moveUp(timer, size++);
        if (dueAt < nextWakeAt) {
            nextWakeAt = dueAt;
            alarm.wakeAt(nextWakeAt);
        }
        return timer;
    }

    /** Cancels a timer, and releases its callback with what that refers to; no effect once it has run. */
    public void cancel(Timer timer) {
        if (timer.index != NOT_SCHEDULED) {
            remove(timer);
        }
    }

    /** The number of timers that are scheduled. */
    int size() {
        return size;
    }

    /**
     * Runs the timers that are due. A timer that one of them schedules waits for the next alarm, even if it is already
     * due.
     */
    public void runDue() {
        double now = now();
        long endSequence = nextSequence;
        nextWakeAt = Double.MAX_VALUE;
        while (size > 0 && heap[0].dueAt <= now && heap[0].sequence < endSequence) {
            Timer timer = heap[0];
            remove(timer);
            timer.callback.onTimer(Math.max(now, now()), timer.token);
        }
        if (size > 0 && heap[0].dueAt < nextWakeAt) {
            nextWakeAt = heap[0].dueAt;
            alarm.wakeAt(nextWakeAt);
        }
    }

    private void remove(Timer timer) {
        int index = timer.index;
        timer.index = NOT_SCHEDULED;
        Timer moved = heap[--size];
        heap[size] = null;
        if (moved == timer) {
            return;
        }
        if (index > 0 && moved.isBefore(heap[parent(index)])) {
            moveUp(moved, index);
        } else {
            moveDown(moved, index);
        }
    }

    private static int parent(int index) {
        return (index - 1) / 2;
    }

    /** Places a timer at a free position, or above it while it is due before its parent. */
    private void moveUp(Timer timer, int freeIndex) {
        int index = freeIndex;
        while (index > 0 && timer.isBefore(heap[parent(index)])) {
            place(heap[parent(index)], index);
            index = parent(index);
        }
        place(timer, index);
    }

    /** Places a timer at a free position, or below it while one of its children is due before. */
    private void moveDown(Timer timer, int freeIndex) {
        int index = freeIndex;
        for (int child = 2 * index + 1; child < size; child = 2 * index + 1) {
            if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
                child++;
            }
            if (timer.isBefore(heap[child])) {
                break;
            }
            place(heap[child], index);
            index = child;
        }
        place(timer, index);
    }

    private void place(Timer timer, int index) {
        heap[index] = timer;
        timer.index = index;
    }
}
