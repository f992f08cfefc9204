package stonelb.gateway.endpoint;

import stonelb.decision.Outcome;
import stonelb.http.HttpMessage;
import stonelb.http.HttpParser;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/** A connection to an endpoint that speaks HTTP/1.1. */
final class HttpEndpointConnection extends EndpointConnection {
    private static final int MAX_BODY_BYTES = 128 * 1024;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_INTERNAL_SERVER_ERROR = 500;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final String NOT_EXECUTED_HEADER = "x-unprocessed";

    private final HttpParser parser = new HttpParser(true, MAX_BODY_BYTES);

    HttpEndpointConnection(EndpointConnectionPool pool, RateLimitedLog log) {
        super(pool, log);
    }

    @Override
    protected void beforeRequest(OutboundRequest request) {
        parser.expectBodiless(request.isHead());
    }

    @Override
    protected void readResponse() throws MalformedInputException {
        HttpMessage message = parser.next(in);
        if (message != null) {
            completeWith(message, message.keepsAlive() && in.size() == 0);
        }
    }

    @Override
    protected void onEndOfInput() {
        HttpMessage message = peerClosedCleanly() ? parser.endOfInput() : null;
        if (message != null) {
            completeWith(message, false);
        }
    }

    @Override
    protected int parserBytes() {
        return parser.bufferedBytes();
    }

    /**
     * Derives the attempt's outcome from the status. 429 or 503 with the header {@code X-Unprocessed: 1} proves that
     * the endpoint rejected the request before executing it, as BUSY does over RESP2. Without that header, 429 and any
     * status from 500 up are errors after which the request may have been executed. Any other status
     * is the application's own response.
     */
    private void completeWith(HttpMessage message, boolean reusable) {
        int status = message.status();
        if (isRejectionStatus(status) && "1".equals(message.headers().get(NOT_EXECUTED_HEADER))) {
            completeAttempt(Outcome.REJECTED, null, reusable);
        } else if (status >= STATUS_INTERNAL_SERVER_ERROR || status == STATUS_TOO_MANY_REQUESTS) {
            completeAttempt(Outcome.ERROR, null, reusable);
        } else {
            completeAttempt(Outcome.OK, new HttpEndpointResponse(message), reusable);
        }
    }

    private static boolean isRejectionStatus(int status) {
        return status == STATUS_TOO_MANY_REQUESTS || status == STATUS_SERVICE_UNAVAILABLE;
    }
}
