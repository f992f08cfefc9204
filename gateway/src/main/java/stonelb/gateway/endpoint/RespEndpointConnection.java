package stonelb.gateway.endpoint;

import java.util.List;
import stonelb.decision.Outcome;
import stonelb.gateway.resp.RespParser;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/** A connection to an endpoint that speaks RESP2. */
final class RespEndpointConnection extends EndpointConnection {
    private static final String REJECTION_CODE = "BUSY";
    private static final String ERROR_CODE = "ERR";

    private final RespParser parser = new RespParser();

    RespEndpointConnection(EndpointConnectionPool pool, RateLimitedLog log) {
        super(pool, log);
    }

    @Override
    protected int parserBytes() {
        return parser.bufferedBytes();
    }

    /**
     * A response is an array whose first element is the value. The error BUSY proves that the endpoint rejected the
     * request before executing it; after any other error the request may have been executed.
     */
    @Override
    protected void readResponse() throws MalformedInputException {
        Object value = parser.next(in);
        if (value == RespParser.INCOMPLETE) {
            return;
        }
        boolean reusable = in.size() == 0;
        if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof byte[] first) {
            completeAttempt(Outcome.OK, new RespResponse(first), reusable);
        } else if (value instanceof RespParser.SimpleError error && isRejection(error.text())) {
            completeAttempt(Outcome.REJECTED, null, reusable);
        } else {
            if (value instanceof RespParser.SimpleError error && !error.text().startsWith(ERROR_CODE)) {
                log.warn("unexpected error response from endpoint", "-" + printable(error.text()));
            }
            completeAttempt(Outcome.ERROR, null, reusable);
        }
    }

    private static boolean isRejection(String error) {
        return error.equals(REJECTION_CODE) || error.startsWith(REJECTION_CODE + " ");
    }

    private static String printable(String text) {
        return text.replaceAll("[^ -~]", "?");
    }
}
