package stonelb.core;

import java.util.Arrays;

/**
 * All timers of a process, in one binary heap that is driven by a single alarm. Timers due at the same time fire in the
 * order in which they were scheduled.
 */
public final class TimerQueue {
    private static final int INITIAL_CAPACITY = 64;

    /** The clock and the alarm of an event loop; a later call of {@link #wakeAt} replaces an earlier one. */
    public interface Alarm {

        /** The time in milliseconds. */
        double now();

        /** Requests a call of {@link TimerQueue#runDue} at a time on that clock. */
        void wakeAt(double whenMs);
    }

    private record Timer(double dueAt, long sequence, TimerCallback callback, long token) {

        boolean isBefore(Timer other) {
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
    public void scheduleAfter(double delayMs, TimerCallback callback, long token) {
        scheduleAt(now() + Math.max(0, delayMs), callback, token);
    }

    /** Schedules a timer; {@code token} is passed to the callback. */
    public void scheduleAt(double dueAt, TimerCallback callback, long token) {
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        insert(new Timer(dueAt, nextSequence++, callback, token));
        if (dueAt < nextWakeAt) {
            nextWakeAt = dueAt;
            alarm.wakeAt(nextWakeAt);
        }
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
            Timer timer = removeFirst();
            timer.callback.onTimer(Math.max(now, now()), timer.token);
        }
        if (size > 0 && heap[0].dueAt < nextWakeAt) {
            nextWakeAt = heap[0].dueAt;
            alarm.wakeAt(nextWakeAt);
        }
    }

    private void insert(Timer timer) {
        int index = size++;
        while (index > 0 && timer.isBefore(heap[(index - 1) / 2])) {
            heap[index] = heap[(index - 1) / 2];
            index = (index - 1) / 2;
        }
        heap[index] = timer;
    }

    private Timer removeFirst() {
        Timer first = heap[0];
        Timer moved = heap[--size];
        heap[size] = null;
        int index = 0;
        for (int child = 1; child < size; child = 2 * index + 1) {
            if (child + 1 < size && heap[child + 1].isBefore(heap[child])) {
                child++;
            }
            if (moved.isBefore(heap[child])) {
                break;
            }
            heap[index] = heap[child];
            index = child;
        }
        if (size > 0) {
            heap[index] = moved;
        }
        return first;
    }
}
