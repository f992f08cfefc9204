package stonelb.proxy;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import stonelb.follower.ClusterRoute;
import stonelb.follower.ControlClient;
import stonelb.follower.EndpointPool;
import stonelb.follower.MonotonicClock;
import stonelb.follower.RoutingDecision;
import stonelb.follower.UpstreamEndpoint;

/** Forwards requests to endpoints, with the timeout and the retry policy of their route. */
final class RequestForwarder {
    /** Hop-by-hop headers and headers that the HTTP client sets itself. */
    private static final Set<String> NOT_FORWARDED_HEADERS =
            Set.of("connection", "host", "content-length", "transfer-encoding", "upgrade", "expect", "http2-settings");

    /** Response header by which an endpoint states that it did not execute the request. */
    private static final String UNPROCESSED_HEADER = "x-unprocessed";

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final double MIN_ATTEMPT_TIMEOUT_MS = 1;
    private static final int MICROS_PER_MILLI = 1000;
    private static final double NO_LATENCY = -1;

    private static final int BAD_REQUEST = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** One attempt of a request on an endpoint. */
    private record Attempt(
            ProxiedRequest request, RoutingDecision.Forward decision, UpstreamEndpoint endpoint, double startedAtMs) {}

    private final ControlClient controlClient;
    private final HttpClient httpClient;

    RequestForwarder(ControlClient controlClient, Executor workers) {
        this.controlClient = controlClient;
        httpClient = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(workers)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    /** Sends the next attempt of a request. Runs on the control client's executor thread. */
    void forward(ProxiedRequest request, RoutingDecision.Forward decision) {
        HttpRequest.Builder requestBuilder;
        try {
            requestBuilder = copyWithoutUri(request);
        } catch (IllegalArgumentException e) {
            // The request can't be forwarded, for instance because of a control character in a header.
            request.respond(BAD_REQUEST);
            return;
        }
        EndpointPool pool = decision.pool();
        UpstreamEndpoint endpoint = request.pickEndpoint(pool);
        if (endpoint == null) {
            request.respond(SERVICE_UNAVAILABLE);
            return;
        }
        double startedAtMs = MonotonicClock.nowMs();
        double remainingMs = request.remainingMs(decision.route(), startedAtMs);
        if (remainingMs < MIN_ATTEMPT_TIMEOUT_MS) {
            pool.attemptEnded(endpoint, false, NO_LATENCY);
            request.respond(GATEWAY_TIMEOUT);
            return;
        }
        Attempt attempt = new Attempt(request, decision, endpoint, startedAtMs);
        requestBuilder.setHeader(ProxiedRequest.TIME_LEFT_HEADER, Long.toString((long) remainingMs));
        send(attempt, buildWithUri(requestBuilder, request, endpoint), remainingMs);
    }

    /** Sends an attempt. The timeout covers the response body too; that of the HTTP client covers only the headers. */
    @SuppressWarnings("FutureReturnValueIgnored") // failures reach attemptEnded
    private void send(Attempt attempt, HttpRequest httpRequest, double timeoutMs) {
        CompletableFuture<HttpResponse<byte[]>> exchange =
                httpClient.sendAsync(httpRequest, BodyHandlers.ofByteArray());
        exchange.copy()
                .orTimeout((long) (timeoutMs * MICROS_PER_MILLI), TimeUnit.MICROSECONDS)
                .whenComplete((response, failure) -> {
                    if (failure instanceof TimeoutException) {
                        exchange.cancel(true);
                    }
                    controlClient.execute(() -> attemptEnded(attempt, response, failure));
                });
    }

    private static HttpRequest buildWithUri(
            HttpRequest.Builder requestBuilder, ProxiedRequest request, UpstreamEndpoint endpoint) {
        return requestBuilder
                .uri(URI.create("http://" + endpoint.address + ":" + endpoint.port + request.target()))
                .build();
    }

    /**
     * Copies method, body and headers of a request, but not its URI.
     *
     * @throws IllegalArgumentException if its method or a header can't be sent
     */
    private static HttpRequest.Builder copyWithoutUri(ProxiedRequest request) {
        BodyPublisher body =
                request.body().length == 0 ? BodyPublishers.noBody() : BodyPublishers.ofByteArray(request.body());
        HttpRequest.Builder builder = HttpRequest.newBuilder().method(request.method(), body);
        request.headers().forEach((name, value) -> {
            if (!name.startsWith(":") && !NOT_FORWARDED_HEADERS.contains(name)) {
                builder.header(name, value);
            }
        });
        return builder;
    }

    /** Records the result of an attempt, then retries or responds. Either {@code response} or {@code failure} is null. */
    private void attemptEnded(Attempt attempt, HttpResponse<byte[]> response, Throwable failure) {
        boolean success = response != null && response.statusCode() < FIRST_SERVER_ERROR;
        double latencyMs = failure == null ? MonotonicClock.nowMs() - attempt.startedAtMs() : NO_LATENCY;
        attempt.decision().pool().attemptEnded(attempt.endpoint(), success, latencyMs);

        ProxiedRequest request = attempt.request();
        ClusterRoute route = attempt.decision().route();
        boolean notExecuted = provesNotExecuted(response, failure);
        if (!success && request.hasRetryLeft(route) && (notExecuted || route.idempotent())) {
            forward(request, attempt.decision());
        } else if (response != null) {
            request.respond(response.statusCode(), 0, response.body());
        } else {
            request.respond(failureStatus(failure, notExecuted));
        }
    }

    private static int failureStatus(Throwable failure, boolean notExecuted) {
        if (failure instanceof TimeoutException) {
            return GATEWAY_TIMEOUT;
        }
        return notExecuted ? SERVICE_UNAVAILABLE : BAD_GATEWAY;
    }

    /** Whether the request was provably not executed: the connection failed, or the endpoint's response states so. */
    private static boolean provesNotExecuted(HttpResponse<byte[]> response, Throwable failure) {
        if (response != null) {
            return response.headers().firstValue(UNPROCESSED_HEADER).isPresent();
        }
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        return cause instanceof ConnectException;
    }
}
