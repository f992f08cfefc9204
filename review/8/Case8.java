import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A bad client sends one HTTP request whose path is long and belongs to no operation. Broken if a request of a usual
 * client, over RESP2 or HTTP, is not answered within its time and half a second.
 */
final class Case8 {
    private static final int CLIENTS = 6; // over each protocol
    private static final int PAUSE_MS = 50;
    private static final int WORK_MS = 20;
    private static final long BEFORE_MS = 3_000;
    private static final long AFTER_MS = 12_000;
    private static final int PATIENCE_MS = 4_000;
    private static final int LATE_MS = 500;
    private static final int BAD_CLIENT_MS = 3_000;
    private static final int LONG_PATH = 7_900; // a line of 8 KiB at most

    private static final String DESCRIPTION = """
            openapi: 3.1.0
            info:
              title: Exercise plans
              version: '1'
            servers:
              - url: https://api.example/v1
            x-stonelb-default-class: plan-read
            paths:
              /plans/{plan}:
                get:
                  summary: A patient's current plan
              /exports/{year}-{month}-{day}.json:
                get:
                  summary: What was prescribed on a day
            """;

    private static final AtomicBoolean end = new AtomicBoolean();
    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();

    private Case8() {}

    public static void main(String[] args) throws IOException {
        Bench.main(Case8::run);
    }

    private static int run(boolean trouble) throws Exception {
        Bench.Discovery discovery = new Bench.Discovery();
        Bench.Counter counter = new Bench.Counter();
        Bench.PlanServer server = new Bench.PlanServer("s-1", (words, socket, out) -> {
            Bench.sleep(WORK_MS);
            Bench.served(out, "plan");
        });
        Bench.Server http = new Bench.Server((socket, in, out) -> {
            while (true) {
                Bench.http(in);
                Bench.sleep(WORK_MS);
                Bench.respond(out, 200, "plan");
            }
        });
        discovery.put("s-1", server.server.address(), "in_service", 0);
        int port = Bench.freePort();
        int httpPort = Bench.freePort();
        Path folder = Files.createTempDirectory("review-case-8");
        Bench.register(() -> {
            for (String name : new String[] {"plans.yaml", "openapi.json", ""}) {
                Files.deleteIfExists(folder.resolve(name));
            }
        });
        Path settings = folder.resolve("openapi.json");
        Files.writeString(folder.resolve("plans.yaml"), DESCRIPTION);
        Files.writeString(
                settings,
                "{\"enabled\":true,\"listen\":\"127.0.0.1:" + httpPort + "\",\"description\":\""
                        + folder.resolve("plans.yaml") + "\",\"serverPort\":" + http.listener.getLocalPort()
                        + ",\"reloadMs\":1000}");
        Bench.Gateway gateway = new Bench.Gateway(
                "n0",
                port,
                Bench.configuration("n0", port, discovery, counter, 1, 0, Bench.SANTIAGO_CLASSES, "", 1024),
                Map.of("STONELB_OPENAPI", settings.toString()));
        gateway.awaitReady();

        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Bench.daemon(() -> usualClient("RESP2 client " + client, port, i -> Bench.encode(
                    "Q.ASK",
                    Bench.customer(1 + client * 50 + i % 50),
                    "r" + client + "-" + i,
                    "c=plan-read,t=red,d=" + PATIENCE_MS + ",units=1,spread=1,first=0"), Bench::resp));
            Bench.daemon(() -> usualClient("HTTP client " + client, httpPort, i -> get(
                    "/v1/plans/7", 1001 + client * 50 + i % 50), in -> Bench.http(in).start()));
        }
        Bench.sleep(BEFORE_MS);
        Bench.log("sent " + sent + ", answered " + answered);
        String path = trouble ? "/v1/exports/" + "-".repeat(LONG_PATH) : "/v1/exports/2026-12-05.xml";
        double badSince = Bench.nowMs();
        Bench.daemon(() -> {
            try (Socket socket = new Socket(Bench.LOOPBACK, httpPort)) {
                socket.setSoTimeout(60_000);
                socket.getOutputStream().write(get(path, 7));
                Bench.log("the bad client has sent a path of " + path.length() + " bytes");
                String answer = Bench.http(socket.getInputStream()).start();
                Bench.log(String.format(
                        "the bad client is answered '%s' after %.0f ms, owed within %d ms",
                        answer, Bench.nowMs() - badSince, BAD_CLIENT_MS));
            }
        });
        for (double until = Bench.nowMs() + AFTER_MS; Bench.nowMs() < until; ) {
            Bench.sleep(1000);
            Bench.log("sent " + sent + ", answered " + answered + ", not answered in time " + unanswered
                    + ", the gateway runs: " + gateway.isAlive());
        }
        end.set(true);
        Bench.sleep(PATIENCE_MS + LATE_MS + 200);
        Bench.log("sent " + sent + ", answered " + answered + ", not answered in time " + unanswered);
        return unanswered.get() > 0 || !gateway.isAlive() ? Bench.BROKEN : Bench.HELD;
    }

    private static byte[] get(String path, int customer) {
        return ("GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Customer: " + Integer.toHexString(customer)
                        + "\r\nX-Plan: red\r\nX-Time-Left-Ms: " + PATIENCE_MS + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private interface Request {
        byte[] number(int i);
    }

    private interface Answer {
        String read(InputStream in) throws IOException;
    }

    /** Sends one request after the other, and gives up one that is not answered in its time and half a second. */
    private static void usualClient(String name, int port, Request request, Answer answer) {
        for (int i = 0; !end.get(); ) {
            try (Socket socket = new Socket(Bench.LOOPBACK, port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MS + LATE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (; !end.get(); i++) {
                    sent.incrementAndGet();
                    socket.getOutputStream().write(request.number(i));
                    answer.read(in);
                    answered.incrementAndGet();
                    Bench.sleep(PAUSE_MS);
                }
            } catch (SocketTimeoutException e) {
                unanswered.incrementAndGet();
                i++;
                Bench.log(name + ": no answer after " + (PATIENCE_MS + LATE_MS) + " ms");
            } catch (IOException e) {
                unanswered.incrementAndGet();
                i++;
                Bench.log(name + ": " + e.getMessage());
                Bench.sleep(100);
            }
        }
    }
}
