package stonelb.proxy;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import stonelb.follower.ClientOptions;
import stonelb.follower.ControlClient;
import stonelb.follower.RoutingDecision;

/**
 * An HTTP/1.1 proxy on loopback that is configured by the control service. It applies routes, timeouts, retries,
 * circuit breakers, weights, draining and quota assignments.
 */
public final class StubProxy implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int ACCEPT_BACKLOG = 512;
    private static final int TOO_MANY_REQUESTS = 429;

    private final ControlClient controlClient;
    private final HttpServer server;
    private final ExecutorService workers;
    private final RequestForwarder forwarder;

    /**
     * Listens on loopback and connects to the control service.
     *
     * @param options address of the control service and node id of the proxy
     * @param port port to listen on, 0 for an ephemeral one
     * @throws IOException if the port is taken or a TLS file can't be read
     */
    @SuppressWarnings("AddressSelection") // an IP address, not a host name
    public StubProxy(ClientOptions options, int port) throws IOException {
        controlClient = new ControlClient(options);
        workers = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "proxy " + options.node());
            thread.setDaemon(true);
            return thread;
        });
        forwarder = new RequestForwarder(controlClient, workers);
        server = HttpServer.create(new InetSocketAddress(LOOPBACK, port), ACCEPT_BACKLOG);
        server.setExecutor(workers);
        server.createContext("/", this::handle);
        server.start();
        controlClient.start();
    }

    /** The port that the proxy listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    /** The proxy's connection to the control service. */
    public ControlClient controlClient() {
        return controlClient;
    }

    private void handle(HttpExchange exchange) throws IOException {
        ProxiedRequest request = new ProxiedRequest(exchange, workers);
        controlClient.decide(request.toProxyRequest(), decision -> apply(decision, request));
    }

    private void apply(RoutingDecision decision, ProxiedRequest request) {
        if (decision instanceof RoutingDecision.Forward forward) {
            forwarder.forward(request, forward);
        } else if (decision instanceof RoutingDecision.LocalReply reply) {
            boolean mayRetryLater = reply.status() == TOO_MANY_REQUESTS;
            request.respond(reply.status(), mayRetryLater ? reply.retryAfterMs() : 0, new byte[0]);
        }
    }

    /** Stops immediately, as in a crash: requests in flight get no response. */
    @Override
    public void close() {
        controlClient.close();
        server.stop(0);
        workers.shutdownNow();
    }
}
