package stonelb.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Discovery, the quota counter and one plan server that speaks both RESP2 and HTTP, for one gateway under test. The body
 * of a request selects the behavior of the plan server: "fail" returns an error, "away" returns a response that says that
 * the request was not executed, "reset" closes the connection without a response, "slow MS" responds after a delay,
 * "twice" responds twice over RESP2, "oversized" responds with a message of 60 MB, and any other body is echoed.
 */
public final class StubPlatform implements AutoCloseable {
    private static final String CLASSES = StubConfiguration.requestClass("read", 20_000, 10_000, "idempotent", 3) + ","
            + StubConfiguration.requestClass("log", 20_000, 10_000, "at_most_once", 2);

    private static final long NANOS_PER_MS = 1_000_000;
    private static final int DUPLICATE_RESPONSE_DELAY_MS = 3;
    private static final String OVERSIZED = "oversized";
    private static final String OVERSIZED_ELEMENT = "+" + "x".repeat(4000) + "\r\n";

    /** The requests executed by the plan server, each "COMMAND BODY". */
    public final List<String> executedRequests = new CopyOnWriteArrayList<>();

    /** The requests as they arrived: the words of a RESP2 command, or the start line and headers of an HTTP request. */
    public final List<String> receivedRequests = new CopyOnWriteArrayList<>();

    /** The counter's totals by name, guarded by the map itself. */
    public final Map<String, Double> counterTotals = new TreeMap<>();

    /** The calls counted by the counter, each "NAME AMOUNT". */
    public final List<String> counterCalls = new CopyOnWriteArrayList<>();

    /** Whether the counter reads calls without counting or answering them. */
    public volatile boolean counterUnresponsive;

    /** The idle time in milliseconds after which a RESP2 connection is closed at its next request. */
    public volatile long maxIdleMs = Long.MAX_VALUE;

    // The state of discovery, guarded by this.
    private int index = 1;
    private String lastChange = "";
    private String status = "in_service";

    /** The plan server over RESP2. */
    public final StubServer resp = new StubServer(this::serveResp);

    /** The plan server over HTTP. */
    public final StubServer http = new StubServer(this::serveHttp);

    /** The quota counter. */
    public final StubServer counter =
            new StubServer(new StubCounter(counterTotals, () -> counterUnresponsive, counterCalls::add)::serve);

    /** Discovery, which lists the one plan server. */
    public final StubServer discovery = new StubServer(this::discover);

    /** How the plan server handles a request. */
    private enum Outcome {
        ECHO,
        FAIL,
        NOT_EXECUTED,
        CLOSE
    }

    /** Starts all servers on free ports. */
    public StubPlatform() throws IOException {}

    /** Returns the initial endpoint list for a gateway. */
    public String endpointList() {
        return DiscoveryQuery.response(0, true, discoveryEntry());
    }

    private String discoveryEntry() {
        return DiscoveryQuery.endpoint("s-1", resp.address(), status, 0);
    }

    /** Sets the plan server's status at discovery. */
    public synchronized void status(String newStatus) {
        status = newStatus;
        index++;
        lastChange = discoveryEntry();
        notifyAll();
    }

    private void discover(InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            DiscoveryQuery query = DiscoveryQuery.parse(StubServer.readHttp(in).target());
            StubServer.write(out, StubServer.httpResponse(200, "", discoveryResponse(query)));
        }
    }

    private synchronized String discoveryResponse(DiscoveryQuery query) throws InterruptedException {
        if (!query.watch()) {
            return DiscoveryQuery.response(index, true, discoveryEntry());
        }
        query.awaitChange(this, () -> query.index() != index);
        return DiscoveryQuery.response(index, false, query.index() == index ? "" : lastChange);
    }

    private void serveResp(InputStream in, OutputStream out) throws IOException, InterruptedException {
        long idleSince = System.nanoTime();
        boolean first = true;
        while (true) {
            List<String> words = StubServer.readCommand(in);
            receivedRequests.add(words.toString());
            if (!first && (System.nanoTime() - idleSince) / NANOS_PER_MS > maxIdleMs) {
                return;
            }
            first = false;
            String body = words.size() > 4 ? words.get(4) : "plain";
            Outcome outcome = execute(words.get(0), body);
            if (outcome == Outcome.CLOSE) {
                return;
            }
            if (body.equals(OVERSIZED)) {
                OversizedMessages.writeNestedValue(out, OVERSIZED_ELEMENT);
                continue;
            }
            String response = respResponse(outcome, "echo " + body);
            StubServer.write(out, response);
            idleSince = System.nanoTime();
            if (body.startsWith("twice")) {
                Thread.sleep(DUPLICATE_RESPONSE_DELAY_MS);
                StubServer.write(out, response);
            }
        }
    }

    private static String respResponse(Outcome outcome, String echo) {
        return switch (outcome) {
            case FAIL -> "-ERR failed used=1\r\n";
            case NOT_EXECUTED -> "-BUSY\r\n";
            default -> "*3\r\n$" + echo.length() + "\r\n" + echo + "\r\n$6\r\nused=1\r\n$-1\r\n";
        };
    }

    private void serveHttp(InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            StubServer.HttpMessage request = StubServer.readHttp(in);
            receivedRequests.add(request.startLine() + " " + request.headers());
            String command = request.startLine().startsWith("GET") ? "Q.ASK" : "Q.DO";
            String body = request.body().isEmpty() ? request.headers().getOrDefault("x-body", "plain") : request.body();
            Outcome outcome = execute(command, body);
            if (outcome == Outcome.CLOSE) {
                return;
            }
            if (body.equals(OVERSIZED)) {
                OversizedMessages.writeHead(out, "HTTP/1.1 200 X", "Set-Cookie: " + "x".repeat(200));
                continue;
            }
            String responseBody = httpBody(outcome, "echo " + body);
            String response = httpResponse(outcome, responseBody);
            boolean head = request.startLine().startsWith("HEAD");
            StubServer.write(out, head ? response.substring(0, response.length() - responseBody.length()) : response);
        }
    }

    private static String httpBody(Outcome outcome, String echo) {
        return switch (outcome) {
            case FAIL -> "failed";
            case NOT_EXECUTED -> "rejected";
            default -> echo;
        };
    }

    private static String httpResponse(Outcome outcome, String body) {
        return switch (outcome) {
            case FAIL -> StubServer.httpResponse(500, "X-Own: yes\r\n", body);
            case NOT_EXECUTED -> StubServer.httpResponse(503, "X-Unprocessed: 1\r\n", body);
            default -> StubServer.httpResponse(200, "X-Own: yes\r\n", body);
        };
    }

    /** Records the request, waits if the body says so, and returns the outcome selected by the body. */
    private Outcome execute(String command, String body) throws InterruptedException {
        executedRequests.add(command + " " + body);
        String instruction = body.replaceAll(" .*", "");
        if (instruction.equals("slow")) {
            Thread.sleep(Long.parseLong(body.substring(body.indexOf(' ') + 1)));
        }
        return switch (instruction) {
            case "fail" -> Outcome.FAIL;
            case "away" -> Outcome.NOT_EXECUTED;
            case "reset" -> Outcome.CLOSE;
            default -> Outcome.ECHO;
        };
    }

    /**
     * Returns the configuration of a gateway on this platform, with an idempotent class "read" and an at-most-once class "log".
     *
     * @param listen where it listens, HOST:PORT
     * @param plans the plans, as JSON objects separated by commas
     */
    public String config(String listen, String plans) {
        return new StubConfiguration(
                        "n0",
                        listen,
                        discovery.address(),
                        counter.address(),
                        endpointList(),
                        1024,
                        1,
                        3000,
                        4,
                        CLASSES,
                        plans)
                .toJson();
    }

    /** Returns a sorted copy of {@link #executedRequests}, for tests whose requests may arrive in any order. */
    public List<String> executedRequestsSorted() {
        List<String> sorted = new ArrayList<>(executedRequests);
        sorted.sort(null);
        return sorted;
    }

    @Override
    public void close() throws IOException {
        resp.close();
        http.close();
        counter.close();
        discovery.close();
    }
}
