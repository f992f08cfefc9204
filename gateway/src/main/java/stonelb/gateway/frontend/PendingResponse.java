package stonelb.gateway.frontend;

import io.netty.buffer.ByteBuf;

/** A response that is still to be written on a client connection, in the order of the requests. */
public interface PendingResponse {
    /** Whether the response can be written. */
    boolean isReady();

    /** Writes the complete response. Called once, after {@link #isReady} and all earlier responses. */
    void writeResponse(ByteBuf out);

    /** Called once when the response is written or its connection has closed. */
    default void onDequeued() {}
}
