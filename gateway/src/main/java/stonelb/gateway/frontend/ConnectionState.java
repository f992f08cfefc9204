package stonelb.gateway.frontend;

/**
 * What a client connection still does. The states follow one another in this order, but for the one way back from {@link
 * #QUIESCING}; the connection closes from any of them when its client disconnects.
 */
enum ConnectionState {
    /** Requests are decoded and answered. */
    OPEN,

    /**
     * No further request is decoded, since the input is malformed or the client asked for the close. The responses that
     * are pending are written first.
     */
    DRAINING,

    /**
     * Nothing is owed, and reading has been stopped for a graceful close. A read that was already under way in this turn
     * of the event loop may still bring a request; the connection is then {@link #OPEN} again, and the request is answered.
     */
    QUIESCING,

    /** The output is shut down; the connection closes after a moment in which the client can receive what was written. */
    LINGERING
}
