package stonelb.cli;

/**
 * A request of generated traffic.
 *
 * @param atMs when it is sent, in milliseconds from the start of the traffic
 * @param customer the sender
 * @param entryPoint the index of the gateway or proxy that it is sent to
 * @param recordsSession whether it records a session, which is not idempotent, instead of reading a plan
 * @param id its unique ID
 */
record GeneratedRequest(double atMs, Customer customer, int entryPoint, boolean recordsSession, String id) {

    /** Returns a copy of this request with another ID. */
    GeneratedRequest withId(String otherId) {
        return new GeneratedRequest(atMs, customer, entryPoint, recordsSession, otherId);
    }
}
