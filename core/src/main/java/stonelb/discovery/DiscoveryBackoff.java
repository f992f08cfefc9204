package stonelb.discovery;

import java.util.SplittableRandom;

/** Exponential backoff with jitter between the requests to a failing discovery service. */
final class DiscoveryBackoff {
    /** Below 200 ms, since a request within that time still continues the same watch. */
    private static final int INITIAL_BACKOFF_MS = 100;

    private static final int MAX_BACKOFF_PER_CLIENT_MS = 500;
    private static final int MAX_BACKOFF_MS = 2500;
    private static final int AGENT_MAX_BACKOFF_MS = 250;

    /** Limits the exponent; the backoff reaches its maximum at far fewer doublings. */
    private static final int MAX_DOUBLINGS = 30;

    private DiscoveryBackoff() {}

    /**
     * Returns a random delay between zero and a backoff that doubles with each failure.
     *
     * <p>The first backoff is short, since a connection that is closed between two requests does not mean that the
     * service has failed. The maximum grows with the number of clients, to limit the load on a shared service, up to
     * the delay that is acceptable for a change of the list. An agent on the gateway's own machine has only this
     * gateway as its client, and an endpoint that begins to drain goes unnoticed during the backoff, so that maximum is
     * short.
     *
     * @param consecutiveFailures number of failures in a row before this one
     * @param clientCount how many gateways use the same discovery service
     * @return the delay in milliseconds
     */
    static double delayMs(int consecutiveFailures, int clientCount, SplittableRandom random) {
        double maxBackoffMs = clientCount == 1
                ? AGENT_MAX_BACKOFF_MS
                : Math.min(MAX_BACKOFF_MS, MAX_BACKOFF_PER_CLIENT_MS * clientCount);
        double backoffMs = INITIAL_BACKOFF_MS * Math.pow(2, Math.min(consecutiveFailures, MAX_DOUBLINGS));
        return Math.min(backoffMs, maxBackoffMs) * random.nextDouble();
    }
}
