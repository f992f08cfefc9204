package stonelb.standins;

/**
 * The parts of a gateway's configuration that differ between the stubs.
 *
 * @param name the gateway's name
 * @param listen where it listens, HOST:PORT
 * @param discovery the address of discovery
 * @param counter the address of the quota counter
 * @param cachedEndpoints the endpoint list to start with, in the format of a discovery response
 * @param sockets the limit on its sockets
 * @param gateways the number of gateways that share the quotas
 * @param counterTimeoutMs the timeout of a call to the counter, in milliseconds
 * @param largestRequest the maximum units of a request
 * @param classes the request classes, as JSON objects separated by commas
 * @param plans the plans, as JSON objects separated by commas
 */
record StubConfiguration(
        String name,
        String listen,
        String discovery,
        String counter,
        String cachedEndpoints,
        int sockets,
        int gateways,
        int counterTimeoutMs,
        int largestRequest,
        String classes,
        String plans) {

    /** Returns the JSON object of a request class. */
    static String requestClass(String name, int deadlineMs, int latencyObjectiveMs, String idempotency, int weight) {
        return "{\"name\":\"" + name + "\",\"deadlineMs\":" + deadlineMs + ",\"promiseMs\":" + latencyObjectiveMs
                + ",\"effect\":\"" + idempotency + "\",\"worth\":" + weight + "}";
    }

    /** Returns the configuration as one JSON object. */
    String toJson() {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                + "},\"counter\":\"" + counter + "\",\"known\":" + cachedEndpoints + ",\"settings\":{"
                + "\"allowed\":{\"cancelling\":true,\"connIdleMs\":30000.0,\"connectTimeoutMs\":250.0,\"maxAttempts\":6,"
                + "\"maxOpen\":20000,\"maxRetryAfterMs\":1000.0,\"retryAfter\":false,\"secondCopies\":false},"
                + "\"azs\":[\"a\"],\"balancers\":" + gateways
                + ",\"rank\":0,\"stepMs\":2.0,\"zone\":0,\"discovery\":\"pushed\",\"categories\":[" + classes
                + "],\"familyInfo\":{\"counter\":true,\"countWaitMs\":" + counterTimeoutMs + ",\"largest\":"
                + largestRequest
                + "},\"rules\":{\"coldFrom\":0.19,\"rampTimeMs\":17000,\"fallMs\":1500},\"tiersOfService\":[" + plans
                + "]}}";
    }
}
