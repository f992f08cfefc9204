package stonelb.proxy;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URI;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.regex.Pattern;
import stonelb.follower.ClusterRoute;
import stonelb.follower.EndpointPool;
import stonelb.follower.MonotonicClock;
import stonelb.follower.ProxyRequest;
import stonelb.follower.UpstreamEndpoint;

/** A client's request, from its arrival to its single response. */
final class ProxiedRequest {
    /** Request header, in lower case, with the time in milliseconds that the client still waits for a response. */
    static final String TIME_LEFT_HEADER = "x-time-left-ms";

    private static final double MILLIS_PER_SECOND = 1000;
    private static final int NO_BODY = -1;
    private static final Pattern TIME_LEFT = Pattern.compile("\\d{1,15}(\\.\\d{1,15})?");

    private final HttpExchange exchange;
    private final byte[] body;
    private final Executor responseWriters;
    private final double receivedAtMs;
    private final Map<String, String> headers = new HashMap<>();
    private final Set<UpstreamEndpoint> triedEndpoints = new HashSet<>();
    private int attempts;

    /**
     * Reads a request with its body.
     *
     * @param exchange exchange of the HTTP server
     * @param responseWriters executor that writes the response
     * @throws IOException if reading the body from the client fails
     */
    ProxiedRequest(HttpExchange exchange, Executor responseWriters) throws IOException {
        this.exchange = exchange;
        this.responseWriters = responseWriters;
        body = exchange.getRequestBody().readAllBytes();
        receivedAtMs = MonotonicClock.nowMs();
        exchange.getRequestHeaders()
                .forEach((name, values) -> headers.put(name.toLowerCase(Locale.ROOT), values.get(0)));
        headers.put(":method", exchange.getRequestMethod());
    }

    /** Converts the request for {@link stonelb.follower.ControlClient#decide}. */
    ProxyRequest toProxyRequest() {
        return new ProxyRequest(method(), exchange.getRequestURI().getRawPath(), headers);
    }

    String method() {
        return exchange.getRequestMethod();
    }

    /** Path and query as received; for a request target in absolute form, without scheme and authority. */
    String target() {
        URI uri = exchange.getRequestURI();
        return uri.getRawQuery() == null ? uri.getRawPath() : uri.getRawPath() + "?" + uri.getRawQuery();
    }

    /** First value of each header by name in lower case, {@code :method} included. */
    Map<String, String> headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    /** Picks an endpoint for the next attempt, preferably one not tried before; null if there is none. */
    UpstreamEndpoint pickEndpoint(EndpointPool pool) {
        UpstreamEndpoint endpoint = pool.pick(triedEndpoints);
        if (endpoint != null) {
            triedEndpoints.add(endpoint);
            attempts++;
        }
        return endpoint;
    }

    /** Milliseconds left until the earlier of the client's deadline and the route's timeout; negative once past. */
    double remainingMs(ClusterRoute route, double nowMs) {
        return receivedAtMs + Math.min(route.timeoutMs(), clientTimeoutMs()) - nowMs;
    }

    /** The client's timeout; infinite if the header is missing or malformed. */
    private double clientTimeoutMs() {
        String timeLeft = headers.getOrDefault(TIME_LEFT_HEADER, "");
        return TIME_LEFT.matcher(timeLeft).matches() ? Double.parseDouble(timeLeft) : Double.POSITIVE_INFINITY;
    }

    /** Whether the route's retry policy allows another attempt. */
    boolean hasRetryLeft(ClusterRoute route) {
        return attempts <= route.maxRetries();
    }

    /** Responds without a body. */
    void respond(int status) {
        respond(status, 0, new byte[0]);
    }

    /**
     * Responds to the client. The response is written by a worker thread, so that a client that reads slowly does not
     * delay others.
     *
     * @param status HTTP status code
     * @param retryAfterMs time for the Retry-After header in milliseconds, rounded up to seconds; 0 for no header
     * @param responseBody the body; may be empty
     */
    void respond(int status, double retryAfterMs, byte[] responseBody) {
        responseWriters.execute(() -> {
            try (HttpExchange closedExchange = exchange) {
                Headers responseHeaders = closedExchange.getResponseHeaders();
                if (retryAfterMs > 0) {
                    long seconds = (long) Math.ceil(retryAfterMs / MILLIS_PER_SECOND);
                    responseHeaders.set("Retry-After", Long.toString(seconds));
                }
                closedExchange.sendResponseHeaders(status, responseBody.length == 0 ? NO_BODY : responseBody.length);
                if (responseBody.length > 0) {
                    closedExchange.getResponseBody().write(responseBody);
                }
            } catch (IOException e) {
                // The client has disconnected.
            }
        });
    }
}
