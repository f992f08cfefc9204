package stonelb.gateway.frontend;

/** The state machine of a client connection, which decides when the connection stops accepting requests and closes. */
final class ConnectionLifecycle {
    private ConnectionState state = ConnectionState.OPEN;

    /** Whether input is read and discarded: nothing after malformed input or after the last request is a request. */
    private boolean discardsInput;

    /** Whether requests are decoded. */
    boolean acceptsRequests() {
        return state == ConnectionState.OPEN;
    }

    /** Whether no further requests are decoded, so that the output is shut down once all responses are written. */
    boolean isDraining() {
        return state == ConnectionState.DRAINING;
    }

    /** Whether reading has been stopped for a graceful close, and nothing has been read since. */
    boolean isQuiescing() {
        return state == ConnectionState.QUIESCING;
    }

    /** Whether input may be read; {@code hasRoom} is whether more input may be buffered. */
    boolean mayRead(boolean hasRoom) {
        return switch (state) {
            case OPEN -> hasRoom;
            case DRAINING, LINGERING -> discardsInput;
            case QUIESCING -> false;
        };
    }

    /** Called when input was read; returns whether it may contain requests. */
    boolean inputRead() {
        if (state == ConnectionState.QUIESCING) {
            state = ConnectionState.OPEN;
        }
        return state == ConnectionState.OPEN;
    }

    /** Called when the input is malformed. Later input can't be decoded, so it is read and discarded. */
    void inputMalformed() {
        state = ConnectionState.DRAINING;
        discardsInput = true;
    }

    /** Called when the client has sent the request that it declared its last. Later input is read and discarded. */
    void lastRequestRead() {
        state = ConnectionState.DRAINING;
        discardsInput = true;
    }

    /** Called when a partial message is abandoned. Later input may contain requests, so it is left unread. */
    void messageAbandoned() {
        state = ConnectionState.DRAINING;
    }

    /** Called when the connection is to close and no response is pending after the one being written. */
    void quiesce() {
        if (state == ConnectionState.OPEN) {
            state = ConnectionState.QUIESCING;
        }
    }

    /** Returns whether the response being written is the last; if so, it announces the close, which can't be undone. */
    boolean announceClose() {
        if (state == ConnectionState.QUIESCING) {
            state = ConnectionState.DRAINING;
        }
        return state != ConnectionState.OPEN;
    }

    /** Called when the output has been shut down. */
    void outputShutDown() {
        state = ConnectionState.LINGERING;
    }
}
