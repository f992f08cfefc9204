package stonelb.gateway.testing;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import stonelb.standins.GatewayProcess.Client;

/**
 * Clients with one request out at a time, which record each request that is neither served nor rejected in its time and
 * half a second.
 */
public final class UsualClients implements AutoCloseable {
    /** How long a client waits for a response, as the request says. */
    public static final int DEADLINE_MS = 4000;

    private static final int GRACE_MS = 500;
    private static final int PAUSE_MS = 20;
    private static final String REJECTED = "-BUSY";

    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<CompletableFuture<Void>> running = new ArrayList<>();
    private volatile boolean stopped;

    /** Sends a request with an id and reads its response. */
    public interface Call {
        /** Returns the response as text. */
        String send(Client client, String id) throws IOException;
    }

    /**
     * Starts clients, each on one connection to the port.
     *
     * @param servedResponse the response that serves the request with an id
     */
    public void start(int clients, int port, String idPrefix, Call call, UnaryOperator<String> servedResponse) {
        for (int i = 0; i < clients; i++) {
            String prefix = idPrefix + i + "-";
            running.add(CompletableFuture.runAsync(() -> run(port, prefix, call, servedResponse), threads));
        }
    }

    private void run(int port, String idPrefix, Call call, UnaryOperator<String> servedResponse) {
        String id = idPrefix;
        try (Client client = new Client(port)) {
            client.socket.setSoTimeout(DEADLINE_MS + GRACE_MS);
            for (int i = 0; !stopped; i++) {
                id = idPrefix + i;
                String response = call.send(client, id);
                if (response.equals(servedResponse.apply(id))) {
                    served.incrementAndGet();
                } else if (!response.startsWith(REJECTED)) {
                    failures.add(id + " got " + response);
                }
                Thread.sleep(PAUSE_MS);
            }
        } catch (SocketTimeoutException e) {
            failures.add(id + " was not answered within " + (DEADLINE_MS + GRACE_MS) + " ms");
        } catch (IOException | InterruptedException e) {
            failures.add(id + ": " + e);
        }
    }

    /** The number of requests served so far. */
    public int served() {
        return served.get();
    }

    /** Ends the clients after their current requests, and returns what went wrong. */
    public List<String> stop() {
        stopped = true;
        CompletableFuture.allOf(running.toArray(CompletableFuture[]::new)).join();
        return failures;
    }

    @Override
    public void close() {
        stopped = true;
        threads.shutdownNow();
    }
}
