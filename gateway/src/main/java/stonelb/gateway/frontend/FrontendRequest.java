package stonelb.gateway.frontend;

import stonelb.core.ClientRequest;
import stonelb.core.MemoryBudget;
import stonelb.core.RequestAttributes;
import stonelb.gateway.endpoint.OutboundRequest;

/** A request from a client connection, which also holds its place in the order of that connection's responses. */
public abstract class FrontendRequest extends ClientRequest implements OutboundRequest, PendingResponse {
    private final ClientConnection connection;
    private final MemoryBudget.Account memory;

    protected FrontendRequest(ClientConnection connection, RequestAttributes attributes) {
        super(attributes);
        this.connection = connection;
        memory = connection.frontend().memory().requests().open();
    }

    /** Bytes held until the request has its response. */
    protected abstract int sizeBytes();

    /** The memory held for the request, then for its response. */
    final MemoryBudget.Account memory() {
        return memory;
    }

    protected final ClientConnection connection() {
        return connection;
    }

    @Override
    protected final boolean canDetectDisconnect() {
        return connection.canDetectDisconnect();
    }

    /**
     * Called by subclasses once the response can be written; what was kept for the request is released before.
     *
     * @param responseBytes memory held until the response is written
     */
    protected final void responseReady(long responseBytes) {
        connection.frontend().requestEnded(this);
        memory.set(connection.frontend().memory().responses(), responseBytes);
        connection.writeReadyResponses();
    }

    @Override
    public final void onDequeued() {
        memory.set(0);
    }

    final void rejectOverload() {
        rejected(Frontend.OVERLOAD_RETRY_AFTER_MS);
    }
}
