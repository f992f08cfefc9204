package stonelb.decision;

/** Counts the responses and the congested ones, and tracks the peak of attempts in flight, since the last reset. */
final class ResponseCounts {
    private double sinceMs;
    private int peakInFlight;
    private int responses;
    private int congested;

    void reset(double now) {
        sinceMs = now;
        peakInFlight = 0;
        responses = 0;
        congested = 0;
    }

    void responded(boolean isCongested) {
        responses++;
        congested += isCongested ? 1 : 0;
    }

    void sampleInFlight(int inFlight) {
        peakInFlight = Math.max(peakInFlight, inFlight);
    }

    double ageMs(double now) {
        return now - sinceMs;
    }

    int peakInFlight() {
        return peakInFlight;
    }

    int responses() {
        return responses;
    }

    int congested() {
        return congested;
    }
}
