package stonelb.core;

/**
 * Sends attempts over connections to endpoints. Results are reported asynchronously, never from within one of these
 * calls.
 */
public interface EndpointConnector {

    /** Sends an attempt, and reports its result to {@link RequestTable#attemptEnded}. */
    void send(Attempt attempt);

    /** Abandons an attempt without a report; returns whether it may have been executed. */
    boolean abandon(Attempt attempt);
}
