package stonelb.core;

/**
 * A client request, from its arrival to its single final response. Frontends extend it with the protocol-specific code
 * that writes that response.
 */
public abstract class ClientRequest {
    private final RequestAttributes attributes;

    /** Its id in the request table. */
    long id;

    int attemptsStarted;

    /** The latest attempt that is not finished, or null. */
    Attempt attemptInFlight;

    boolean done;

    /** Whether an attempt that has ended may have been executed. */
    boolean executedPossibly;

    /** Completes the request if the decision engine does not; cancelled when it is done. */
    TimerQueue.Timer expiry;

    /** Creates a request that is not submitted yet. */
    protected ClientRequest(RequestAttributes attributes) {
        this.attributes = attributes;
    }

    /** The attributes that the frontend parsed from the request. */
    public final RequestAttributes attributes() {
        return attributes;
    }

    /** Whether it has its final response, or its client has disconnected. */
    public final boolean isDone() {
        return done;
    }

    /** Whether an endpoint may have executed the request, or still may. */
    public final boolean mayHaveExecuted() {
        return executedPossibly || attemptInFlight != null;
    }

    /**
     * Whether a disconnect of the client can be detected now. No attempt is started while it can't, for example while
     * reading from the client is paused.
     */
    protected boolean canDetectDisconnect() {
        return true;
    }

    /** Completes the request with an endpoint's response. */
    protected abstract void served(Response response);

    /** Completes the request as rejected; the client may retry after that time in milliseconds. */
    protected abstract void rejected(double retryAfterMs);

    /** Completes the request as failed; it may have had an effect. */
    protected abstract void failed(FailureReason reason);
}
