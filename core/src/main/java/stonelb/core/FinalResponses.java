package stonelb.core;

/**
 * Sends each request its single final response; no other class does. If the frontend throws while it sends one, the
 * other requests still get theirs.
 */
final class FinalResponses {
    private final OpenRequests requests;
    private final EngineInvoker invoker;

    FinalResponses(OpenRequests requests, EngineInvoker invoker) {
        this.requests = requests;
        this.invoker = invoker;
    }

    /** Sends a final response unless the request is done: it has one, or its client has disconnected. */
    void send(ClientRequest request, Runnable response) {
        if (request.done) {
            return;
        }
        requests.markDone(request);
        invoker.runReportingFaults(response);
        requests.removeIfComplete(request);
    }
}
