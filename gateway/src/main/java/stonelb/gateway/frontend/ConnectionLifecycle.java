package stonelb.gateway.frontend;

/** The state of a client connection, and the named transitions between its states: the one place that decides on its end. */
final class ConnectionLifecycle {
    private ConnectionState state = ConnectionState.OPEN;

    /** Whether what is read is thrown away: nothing that follows malformed input, or the last request, is a request. */
    private boolean discardsInput;

    /** Whether requests are decoded. */
    boolean acceptsRequests() {
        return state == ConnectionState.OPEN;
    }

    /** Whether no response is followed by another request, so that the output is shut down once all are written. */
    boolean isDraining() {
        return state == ConnectionState.DRAINING;
    }

    /** Whether reading has been stopped for a graceful close, and nothing was read since. */
    boolean isQuiescing() {
        return state == ConnectionState.QUIESCING;
    }

    /** Whether input may be read; {@code hasRoom} tells whether there is room for more. */
    boolean mayRead(boolean hasRoom) {
        return switch (state) {
            case OPEN -> hasRoom;
            case DRAINING, LINGERING -> discardsInput;
            case QUIESCING -> false;
        };
    }

    /** Input was read; returns whether it may hold requests. */
    boolean inputRead() {
        if (state == ConnectionState.QUIESCING) {
            state = ConnectionState.OPEN;
        }
        return state == ConnectionState.OPEN;
    }

    /** The input is malformed: no request can be told in what follows, which is read and thrown away. */
    void inputMalformed() {
        state = ConnectionState.DRAINING;
        discardsInput = true;
    }

    /** The client has sent its last request, as it said: what follows is no request. */
    void lastRequestRead() {
        state = ConnectionState.DRAINING;
        discardsInput = true;
    }

    /** A message that has begun is given up. What follows may hold requests, so that it is not read. */
    void messageAbandoned() {
        state = ConnectionState.DRAINING;
    }

    /** Nothing is owed, and the connection is to close. */
    void quiesce() {
        if (state == ConnectionState.OPEN) {
            state = ConnectionState.QUIESCING;
        }
    }

    /** Returns whether the response that is being written is the last; if so, the client is told, and there is no way back. */
    boolean announceClose() {
        if (state == ConnectionState.QUIESCING) {
            state = ConnectionState.DRAINING;
        }
        return state != ConnectionState.OPEN;
    }

    /** The output has been shut down. */
    void outputShutDown() {
        state = ConnectionState.LINGERING;
    }
}
