package stonelb.server;

import lichenbeam.Gateway.Outcome;
import stonelb.http.HttpMessage;
import stonelb.http.HttpParser;
import stonelb.io.Log;
import stonelb.io.Malformed;

/** A server link that speaks HTTP/1.1. */
final class HttpLink extends ServerLink {
    private static final int MOST_BODY = 128 * 1024;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final String NOT_RUN = "x-unprocessed";

    private final HttpParser parser = new HttpParser(true, MOST_BODY);

    HttpLink(Pool pool, Log log) {
        super(pool, log);
    }

    @Override
    protected void starting(Outbound request) {
        parser.bodiless(request.head());
    }

    @Override
    protected void received() throws Malformed {
        if (!unasked()) {
            HttpMessage m = parser.next(in);
            if (m != null) {
                take(m, m.keepsAlive() && in.size() == 0);
            }
        }
    }

    @Override
    protected void inputEnded() {
        HttpMessage m = peerEnded() ? parser.end() : null;
        if (m != null) {
            take(m, false);
        }
    }

    /**
     * 429 or 503 with the header X-Unprocessed: 1 proves that the request was turned away before it ran, as BUSY
     * does. Without it they prove nothing, and like any answer of 500 and above are errors that may have run. What
     * is below is the application's own answer.
     */
    private void take(HttpMessage m, boolean reusable) {
        int status = m.status();
        if ((status == TOO_MANY || status == UNAVAILABLE) && "1".equals(m.headers().get(NOT_RUN))) {
            answered(Outcome.FULL, null, reusable);
        } else if (status >= 500 || status == TOO_MANY) {
            answered(Outcome.ERROR, null, reusable);
        } else {
            answered(Outcome.OK, new HttpReply(m), reusable);
        }
    }
}
