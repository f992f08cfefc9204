package stonelb.gateway.openapi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import stonelb.core.RequestAttributes;
import stonelb.description.MalformedPathException;
import stonelb.description.Route;
import stonelb.description.Routes;
import stonelb.gateway.frontend.ClientConnection;
import stonelb.gateway.frontend.CompletedResponse;
import stonelb.gateway.frontend.PendingResponse;
import stonelb.http.HttpMessage;
import stonelb.http.HttpParser;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/** A client connection that carries HTTP/1.1. */
final class OpenApiConnection extends ClientConnection {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int HEADERS_TOO_LARGE = 431;

    /** The interim response to {@code Expect: 100-continue}. */
    private record ContinueResponse() implements CompletedResponse {
        @Override
        public void writeResponse(ByteBuf out) {
            out.writeCharSequence("HTTP/1.1 100 Continue\r\n\r\n", StandardCharsets.US_ASCII);
        }
    }

    private final OpenApiFrontend frontend;
    private final HttpParser parser = new HttpParser(false, MAX_BODY_BYTES);
    private boolean continueSent; // for the message that is being read

    OpenApiConnection(OpenApiFrontend frontend, RateLimitedLog log) {
        super(frontend, log);
        this.frontend = frontend;
    }

    @Override
    protected boolean readMessage() throws MalformedInputException {
        HttpMessage message = parser.next(in);
        if (message == null) {
            if (parser.expectsContinue() && !continueSent) {
                continueSent = true;
                respond(new ContinueResponse());
            }
            return false;
        }
        continueSent = false;
        if (!message.keepsAlive()) {
            closeAfterPendingResponses();
        }
        handleRequest(message);
        return true;
    }

    private void handleRequest(HttpMessage message) {
        RequestTarget target = RequestTarget.parse(message.targetOrStatusCode());
        Routes.Match match;
        try {
            match = frontend.routes().match(target.path());
        } catch (MalformedPathException e) {
            respondProblem(message, BAD_REQUEST, e.getMessage(), Map.of());
            return;
        }
        if (match == null) {
            respondProblem(message, NOT_FOUND, "the description has no such path", Map.of());
            return;
        }
        Route route = match.route(message.methodOrVersion());
        if (route == null) {
            respondProblem(
                    message,
                    METHOD_NOT_ALLOWED,
                    "the description has no such method on this path",
                    Map.of("Allow", match.allowHeader()));
            return;
        }
        submitRequest(message, target, route);
    }

    private void submitRequest(HttpMessage message, RequestTarget target, Route route) {
        try {
            RequiredParameters.check(route, message, target.query());
            RequestAttributes attributes = attributes(message, route);
            submit(new OpenApiRequest(this, message, target.value(), attributes));
        } catch (MalformedInputException e) {
            log.warn("invalid request", e.getMessage());
            respondProblem(message, BAD_REQUEST, e.getMessage(), Map.of());
        }
    }

    private RequestAttributes attributes(HttpMessage message, Route route) throws MalformedInputException {
        RequestHeaders headers = RequestHeaders.parse(
                message, frontend.planIndexes(), frontend.gateways(), frontend.deadlineMs(route.requestClass()));
        return new RequestAttributes(
                route.requestClass(),
                headers.plan(),
                headers.customer(),
                arrivalTime() + headers.timeoutMs(),
                route.cost(),
                headers.spread(),
                headers.retry());
    }

    private void respondProblem(HttpMessage message, int status, String detail, Map<String, String> headers) {
        boolean headRequest = message.methodOrVersion().equals("HEAD");
        respond(new ProblemResponse(this, headRequest, status, detail, headers));
    }

    @Override
    protected boolean isMidMessage() {
        return parser.isMidMessage();
    }

    @Override
    protected int parserBytes() {
        return parser.bufferedBytes();
    }

    @Override
    protected PendingResponse errorResponse(String reason) {
        int status = parser.isHeadTooLarge() ? HEADERS_TOO_LARGE : BAD_REQUEST;
        return new ProblemResponse(this, false, status, reason, Map.of());
    }
}
