package stonelb.core;

/** The callback of a timer. */
public interface TimerCallback {

    /**
     * Called once when the timer is due.
     *
     * @param now the time in milliseconds on the clock of the queue
     * @param token as given when the timer was scheduled
     */
    void onTimer(double now, long token);
}
