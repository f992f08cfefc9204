package stonelb.core;

/**
 * Listens for exceptions thrown by the decision engine, or by a frontend that sends a response. Requests still get
 * their final responses after one.
 */
public interface FaultListener {

    /** Called with the exception. */
    void onFault(RuntimeException exception);
}
