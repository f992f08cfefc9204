package stonelb.io;

/** Receives the result of a connect, on the event loop and never from within the call that started it. */
public interface ConnectListener {

    /** Called once with the result. */
    void onConnectResult(ConnectResult result);
}
