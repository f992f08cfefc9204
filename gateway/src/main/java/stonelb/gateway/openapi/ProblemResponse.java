package stonelb.gateway.openapi;

import com.google.gson.JsonObject;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import stonelb.gateway.frontend.ClientConnection;
import stonelb.gateway.frontend.CompletedResponse;
import stonelb.http.HttpWriter;

/**
 * A response of the gateway itself, as a problem document (RFC 9457).
 *
 * @param headRequest whether it responds to a HEAD request, and so has no body
 * @param extraHeaders headers beside those of the document
 */
record ProblemResponse(
        ClientConnection connection, boolean headRequest, int status, String detail, Map<String, String> extraHeaders)
        implements CompletedResponse {

    @Override
    public void writeResponse(ByteBuf out) {
        JsonObject problem = new JsonObject();
        problem.addProperty("title", HttpWriter.reason(status));
        problem.addProperty("status", status);
        problem.addProperty("detail", detail);
        byte[] body = problem.toString().getBytes(StandardCharsets.UTF_8);
        Map<String, String> headers = new LinkedHashMap<>(extraHeaders);
        headers.put("Content-Type", "application/problem+json");
        if (headRequest) { // the client would take a body for its next response
            headers.put("Content-Length", Integer.toString(body.length));
            HttpWriter.headResponse(out, status, headers, connection.announceClose());
        } else {
            HttpWriter.response(out, status, headers, body, connection.announceClose());
        }
    }
}
