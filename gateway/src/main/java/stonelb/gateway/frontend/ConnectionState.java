package stonelb.gateway.frontend;

/**
 * The phase of a client connection. The phases follow one another in this order, except that {@link #QUIESCING} may
 * return to {@link #OPEN}; in any of them the connection closes when its client disconnects.
 */
enum ConnectionState {
    /** Requests are decoded and answered. */
    OPEN,

    /**
     * No further requests are decoded: the input was malformed or incomplete, the client asked for the close, or the
     * close was announced. Pending responses are written first.
     */
    DRAINING,

    /**
     * No response is pending, and reading has been stopped for a graceful close. A read already in progress in this
     * event loop iteration may still deliver a request; the connection is then {@link #OPEN} again, and the request is
     * answered.
     */
    QUIESCING,

    /**
     * The output is shut down; the connection closes after a delay in which the client can receive what was written.
     */
    LINGERING
}
