package stonelb.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** A plan server of a {@link StubFleet}, which echoes the request target over HTTP. */
public final class StubPlanServer implements AutoCloseable {
    private static final double NANOS_PER_MS = 1e6;

    private final String name;
    private final DoubleSupplier meanWorkMs;
    private final Consumer<ReceivedRequest> onRequest;
    private final StubServer server; // null if it runs in another process
    private final String address;
    private volatile String status = "in_service";
    private volatile boolean failing;

    /**
     * Starts a plan server.
     *
     * @param port the port, 0 for a free one
     * @param meanWorkMs the mean processing time in milliseconds, read for each request
     * @param onRequest called with each request on its arrival
     */
    StubPlanServer(String name, String host, int port, DoubleSupplier meanWorkMs, Consumer<ReceivedRequest> onRequest)
            throws IOException {
        this.name = name;
        this.meanWorkMs = meanWorkMs;
        this.onRequest = onRequest;
        this.server = new StubServer(this::serve, host, port);
        this.address = server.address();
    }

    /** Represents a plan server that runs in another process. */
    StubPlanServer(String name, String address) {
        this.name = name;
        this.meanWorkMs = () -> 0;
        this.onRequest = request -> {};
        this.server = null;
        this.address = address;
    }

    /** Returns the name registered at discovery. */
    public String name() {
        return name;
    }

    /** Returns the address on which it listens, HOST:PORT. */
    public String address() {
        return address;
    }

    /** Returns the port of the server in this process. */
    int port() {
        return server.port();
    }

    void setStatus(String newStatus) {
        status = newStatus;
    }

    /** Returns its entry in a discovery response. */
    String discoveryEntry() {
        return DiscoveryQuery.endpoint(name, address, status, 0.0);
    }

    /** Sets whether later responses are errors. */
    public void setFailing(boolean newFailing) {
        failing = newFailing;
    }

    private void serve(InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            StubServer.HttpMessage request = StubServer.readHttp(in);
            Map<String, String> headers = request.headers();
            ReceivedRequest received = new ReceivedRequest(
                    name,
                    headers.getOrDefault("x-customer", ""),
                    headers.getOrDefault("x-via", ""),
                    headers.getOrDefault("x-id", ""),
                    System.nanoTime() / NANOS_PER_MS);
            onRequest.accept(received);
            work(received.id());
            StubServer.write(
                    out,
                    StubServer.httpResponse(failing ? 500 : 200, "", failing ? "failed" : "echo " + request.target()));
        }
    }

    /** Sleeps for 0.5 to 1.5 times the mean; the time depends only on the request ID and is the same at all servers. */
    private void work(String requestId) throws InterruptedException {
        double meanMs = meanWorkMs.getAsDouble();
        double workMs = meanMs <= 0 ? 0 : meanMs * (0.5 + new SplittableRandom(requestId.hashCode()).nextDouble());
        if (workMs > 0) {
            Thread.sleep((long) workMs, (int) (workMs % 1 * 999_999));
        }
    }

    @Override
    public void close() throws IOException {
        if (server != null) {
            server.close();
        }
    }
}
