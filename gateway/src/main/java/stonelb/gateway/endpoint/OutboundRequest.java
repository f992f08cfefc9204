package stonelb.gateway.endpoint;

import io.netty.buffer.ByteBuf;

/** A client's request in a form that can be written to an endpoint. */
public interface OutboundRequest {

    /** The protocol of a connection to an endpoint. */
    enum Protocol {
        /** RESP2, the platform's protocol. */
        RESP,
        /** HTTP/1.1. */
        HTTP
    }

    /** Returns the protocol in which the request is sent. */
    Protocol protocol();

    /** Returns whether this is an HTTP HEAD request, whose response may state a length but has no body. */
    default boolean isHead() {
        return false;
    }

    /**
     * Writes the complete request.
     *
     * @param out the buffer to append to
     * @param remainingMs how long the gateway will wait for the response, in milliseconds
     * @param authority the endpoint's host and port, as in the HTTP header Host
     */
    void writeTo(ByteBuf out, long remainingMs, String authority);
}
