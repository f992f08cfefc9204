package stonelb.decision;

/** The limits on the attempts of a request, and the optional features that the host and its clients support. */
public record AttemptLimits(
        int maxAttempts, boolean hedging, boolean cancellation, boolean retryAfter, double maxRetryAfterMs) {}
