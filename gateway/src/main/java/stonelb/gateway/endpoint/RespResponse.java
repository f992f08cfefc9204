package stonelb.gateway.endpoint;

import stonelb.core.Response;

/** The successful response of an endpoint that speaks RESP2. */
public final class RespResponse implements Response {
    private final byte[] bytes;

    /** Wraps the value as the endpoint sent it; the array is not copied. */
    public RespResponse(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns the value itself, not a copy. */
    public byte[] bytes() {
        return bytes;
    }
}
