package stonelb.gateway.openapi;

import io.netty.buffer.ByteBuf;
import java.util.LinkedHashMap;
import java.util.Map;
import stonelb.core.FailureReason;
import stonelb.core.RequestAttributes;
import stonelb.core.Response;
import stonelb.gateway.endpoint.HttpEndpointResponse;
import stonelb.gateway.frontend.ClientConnection;
import stonelb.gateway.frontend.FrontendRequest;
import stonelb.http.HttpMessage;
import stonelb.http.HttpWriter;

/** A request that came over HTTP. It keeps the class and the cost of its route, also when the description changes. */
final class OpenApiRequest extends FrontendRequest {
    private static final double MS_PER_SECOND = 1000;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final HttpMessage message;
    private final String target;
    private HttpMessage response; // of the endpoint, or null
    private ProblemResponse problem; // of the gateway itself, or null

    OpenApiRequest(ClientConnection connection, HttpMessage message, String target, RequestAttributes attributes) {
        super(connection, attributes);
        this.message = message;
        this.target = target;
    }

    @Override
    protected int sizeBytes() {
        return message.body().length + target.length();
    }

    @Override
    public Protocol protocol() {
        return Protocol.HTTP;
    }

    @Override
    public boolean head() {
        return message.first().equals("HEAD");
    }

    @Override
    public void writeTo(ByteBuf out, long remainingMs, String authority) {
        Map<String, String> headers = new LinkedHashMap<>(message.headers());
        headers.put(RequestHeaders.TIME_LEFT, Long.toString(remainingMs));
        HttpWriter.request(out, message.first(), target, authority, headers, message.body());
    }

    @Override
    public boolean isReady() {
        return response != null || problem != null;
    }

    @Override
    public void writeResponse(ByteBuf out) {
        boolean close = connection().announceClose();
        if (problem != null) {
            problem.writeResponse(out);
        } else if (head()) {
            HttpWriter.headResponse(out, response.status(), response.headers(), close);
        } else {
            HttpWriter.response(out, response.status(), response.headers(), response.body(), close);
        }
    }

    @Override
    protected void served(Response endpointResponse) {
        response = ((HttpEndpointResponse) endpointResponse).message();
        responseReady();
    }

    @Override
    protected void rejected(double retryAfterMs) {
        long seconds = Math.max(1, (long) Math.ceil(retryAfterMs / MS_PER_SECOND));
        Map<String, String> headers = Map.of("Retry-After", Long.toString(seconds));
        respondProblem(TOO_MANY_REQUESTS, "throttled: to try again is harmless", headers);
    }

    @Override
    protected void failed(FailureReason reason) {
        if (reason == FailureReason.DEADLINE_EXCEEDED) {
            respondProblem(GATEWAY_TIMEOUT, "no plan server answered in time", Map.of());
        } else {
            respondProblem(BAD_GATEWAY, "the plan server failed; the request may have run", Map.of());
        }
    }

    private void respondProblem(int status, String detail, Map<String, String> headers) {
        problem = new ProblemResponse(connection(), head(), status, detail, headers);
        responseReady();
    }
}
