package stonelb.core;

/**
 * Gives each request its one final response: the only place that does. A response that can't be given, because the
 * frontend throws, costs no other request its own.
 */
final class FinalResponses {
    private final OpenRequests requests;
    private final EngineInvoker invoker;

    FinalResponses(OpenRequests requests, EngineInvoker invoker) {
        this.requests = requests;
        this.invoker = invoker;
    }

    /** Gives a final response unless the request is done: it has one, or its client has disconnected. */
    void give(ClientRequest request, Runnable response) {
        if (request.done) {
            return;
        }
        requests.markDone(request);
        invoker.runReportingFaults(response);
        requests.removeIfComplete(request);
    }
}
