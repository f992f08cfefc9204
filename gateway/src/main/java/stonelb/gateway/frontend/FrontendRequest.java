package stonelb.gateway.frontend;

import stonelb.core.ClientRequest;
import stonelb.core.RequestAttributes;
import stonelb.gateway.endpoint.OutboundRequest;

/** A request from a client connection, which also holds its place in the order of that connection's responses. */
public abstract class FrontendRequest extends ClientRequest implements OutboundRequest, PendingResponse {
    private final ClientConnection connection;
    private boolean sizeReserved;

    protected FrontendRequest(ClientConnection connection, RequestAttributes attributes) {
        super(attributes);
        this.connection = connection;
    }

    /** Bytes held until the request has its response. */
    protected abstract int sizeBytes();

    protected final ClientConnection connection() {
        return connection;
    }

    @Override
    protected final boolean canDetectDisconnect() {
        return connection.canDetectDisconnect();
    }

    /** Called by subclasses once the response can be written. */
    protected final void responseReady() {
        connection.frontend().requestEnded(this);
        connection.writeReadyResponses();
    }

    final void rejectOverload() {
        rejected(Frontend.OVERLOAD_RETRY_AFTER_MS);
    }

    final void markSizeReserved() {
        sizeReserved = true;
    }

    /** Marks its bytes as released; returns whether they were still accounted for. */
    final boolean clearSizeReserved() {
        boolean wasReserved = sizeReserved;
        sizeReserved = false;
        return wasReserved;
    }
}
