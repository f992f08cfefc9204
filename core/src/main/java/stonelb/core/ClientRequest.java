package stonelb.core;

/**
 * One request of a client, from its arrival to its one final response. Frontends extend it with what their protocol needs
 * to write that response.
 */
public abstract class ClientRequest {
    private final RequestAttributes attributes;

    /** Its number in the request table. */
    long id;

    int attemptsStarted;

    /** The latest attempt that is not finished, or null. */
    Attempt attemptInFlight;

    boolean done;

    /** Creates a request that is not submitted yet. */
    protected ClientRequest(RequestAttributes attributes) {
        this.attributes = attributes;
    }

    /** What the frontend read from the request. */
    public final RequestAttributes attributes() {
        return attributes;
    }

    /** Whether it has its final response, or its client has disconnected. */
    public final boolean isDone() {
        return done;
    }

    /**
     * Whether a disconnect of its client would be noticed now. Where it may go unnoticed, as while the client's input is
     * not read, no attempt is started.
     */
    protected boolean isClientWatched() {
        return true;
    }

    /** Final response: that of an endpoint. */
    protected abstract void served(Response response);

    /** Final response: rejected, and the client may retry after that time in milliseconds. */
    protected abstract void rejected(double retryAfterMs);

    /** Final response: failed, and the request may have had an effect. */
    protected abstract void failed(FailureReason reason);
}
