package stonelb.decision;

/**
 * The decision of a customer's quota on a request.
 *
 * @param retryAfterMs 0 if it is admitted, negative if it is held until the counter has answered, else the time
 *     after which the client may retry
 */
record Admission(double retryAfterMs) {
    static final Admission ADMIT = new Admission(0);
    static final Admission HOLD = new Admission(-1);

    boolean isAdmitted() {
        return retryAfterMs == 0;
    }

    boolean isHeld() {
        return retryAfterMs < 0;
    }

    boolean isRejected() {
        return retryAfterMs > 0;
    }
}
