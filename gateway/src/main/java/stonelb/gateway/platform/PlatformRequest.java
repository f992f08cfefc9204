package stonelb.gateway.platform;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.List;
import stonelb.core.FailureReason;
import stonelb.core.Response;
import stonelb.gateway.endpoint.RespResponse;
import stonelb.gateway.frontend.ClientConnection;
import stonelb.gateway.frontend.FrontendRequest;
import stonelb.gateway.platform.PlatformRequestParser.ParsedRequest;
import stonelb.gateway.resp.RespWriter;

/** A request received as one of the platform's commands. */
final class PlatformRequest extends FrontendRequest {
    /** Memory of a request besides its arguments: its objects here, in the request table and in the decision engine. */
    private static final int OVERHEAD_BYTES = 1024;

    private final String clientRequestId;
    private final int sizeBytes;
    private final boolean idempotent;
    private final ParsedRequest parsed;
    private List<byte[]> arguments; // null once the request has its response
    private byte[] responseValue;
    private String responseLine;

    PlatformRequest(ClientConnection connection, boolean idempotent, List<byte[]> arguments, ParsedRequest parsed) {
        super(connection, parsed.attributes());
        this.idempotent = idempotent;
        this.arguments = arguments;
        this.parsed = parsed;
        clientRequestId = new String(arguments.get(CommandArguments.REQUEST_ID), StandardCharsets.ISO_8859_1);
        sizeBytes = sizeBytes(arguments);
    }

    private static int sizeBytes(List<byte[]> arguments) {
        int bytes = OVERHEAD_BYTES;
        for (byte[] argument : arguments) {
            bytes += argument.length;
        }
        return bytes;
    }

    /** The request id chosen by the client. */
    String clientRequestId() {
        return clientRequestId;
    }

    boolean isIdempotent() {
        return idempotent;
    }

    @Override
    protected int sizeBytes() {
        return sizeBytes;
    }

    @Override
    public Protocol protocol() {
        return Protocol.RESP;
    }

    /** Writes all arguments unchanged, except for the timeout. */
    @Override
    public void writeTo(ByteBuf out, long remainingMs, String authority) {
        RespWriter.array(out, arguments.size());
        for (int i = 0; i < arguments.size(); i++) {
            byte[] argument = arguments.get(i);
            if (i == CommandArguments.FIELDS) {
                RespWriter.bulk(out, argument, parsed.timeoutStart(), parsed.timeoutEnd(), remainingMs);
            } else {
                RespWriter.bulk(out, argument);
            }
        }
    }

    @Override
    public boolean isReady() {
        return responseValue != null || responseLine != null;
    }

    @Override
    public void writeResponse(ByteBuf out) {
        if (responseValue != null) {
            RespWriter.bulk(out, responseValue);
        } else {
            RespWriter.line(out, responseLine);
        }
    }

    @Override
    protected void served(Response response) {
        responseValue = ((RespResponse) response).bytes();
        arguments = null;
        responseReady(responseValue.length);
    }

    @Override
    protected void rejected(double retryAfterMs) {
        respondLine(retryAfterMs >= 1 ? "-BUSY " + Math.round(retryAfterMs) : "-BUSY");
    }

    @Override
    protected void failed(FailureReason reason) {
        respondLine(reason == FailureReason.DEADLINE_EXCEEDED ? "-ERR out of time" : "-ERR failed");
    }

    private void respondLine(String line) {
        responseLine = line;
        arguments = null;
        responseReady(line.length());
    }
}
