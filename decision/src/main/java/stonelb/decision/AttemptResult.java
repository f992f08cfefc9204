package stonelb.decision;

/**
 * How one attempt ended.
 *
 * @param answered whether the client got its answer from this attempt
 * @param actualUnits the units that the request turned out to cost, 0 if the response did not say
 */
public record AttemptResult(
        long requestId,
        int attempt,
        long endpoint,
        Outcome outcome,
        double latencyMs,
        boolean answered,
        double actualUnits) {}
