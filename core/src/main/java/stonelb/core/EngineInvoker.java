package stonelb.core;

/**
 * Calls the decision engine, one event at a time. The engine must not be called from within one of its own actions:
 * events that such an action causes are queued by their owner, and delivered here after the engine has returned.
 *
 * <p>An exception thrown by the engine is passed to the {@link FaultListener}. If it reached the caller, it would end a
 * client connection or a timer and everything that depends on it.
 */
final class EngineInvoker {
    private final FaultListener faultListener;
    private final Runnable deliverPending;

    /** Whether an event is being processed, or the engine is not constructed yet. */
    private boolean busy = true;

    /** Creates an invoker that is busy until {@link #enable}; {@code deliverPending} delivers all queued events. */
    EngineInvoker(FaultListener faultListener, Runnable deliverPending) {
        this.faultListener = faultListener;
        this.deliverPending = deliverPending;
    }

    /** Allows calls; to be called once the engine is constructed. */
    void enable() {
        busy = false;
    }

    /**
     * Runs an event, then delivers the events that its actions have queued.
     *
     * @throws IllegalStateException if called from within an action of the engine
     */
    void call(Runnable event) {
        if (busy) {
            throw new IllegalStateException("the decision engine was called from within its own action");
        }
        busy = true;
        try {
            runReportingFaults(event);
        } finally { // also after an Error, such as exhausted network buffers
            deliver();
        }
    }

    /** Delivers queued events now, unless a call is in progress that will deliver them at its end. */
    void deliverUnlessBusy() {
        if (!busy) {
            busy = true;
            deliver();
        }
    }

    /** Runs an event within a call, and passes an exception to the fault listener. */
    void runReportingFaults(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            faultListener.onFault(e);
        }
    }

    private void deliver() {
        try {
            deliverPending.run();
        } finally {
            busy = false;
        }
    }
}
