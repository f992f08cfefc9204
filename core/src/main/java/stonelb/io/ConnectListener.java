package stonelb.io;

/** Listens for the end of a connect, on the event loop and never from within the call that began it. */
public interface ConnectListener {

    /** Takes the result; called once. */
    void onConnectResult(ConnectResult result);
}
