import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Six bad clients send a hundred commands at once each, whose list of names and values is 64 KB of commas. Broken if a
 * request of a usual client is not answered within its time and half a second.
 */
final class Case7 {
    private static final int PLAN_SERVERS = 4;
    private static final int CLIENTS = 10;
    private static final int PAUSE_MS = 50;
    private static final int WORK_MS = 20;
    private static final long BEFORE_MS = 3_000;
    private static final long AFTER_MS = 20_000;
    private static final int PATIENCE_MS = 4_000;
    private static final int LATE_MS = 500;
    private static final int BAD_CLIENTS = 6;
    private static final int COMMANDS_AT_ONCE = 100;
    private static final int LONG_LIST = 65_000; // a value holds 64 KiB at most

    private static final AtomicBoolean end = new AtomicBoolean();
    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicInteger badAnswers = new AtomicInteger();

    private Case7() {}

    public static void main(String[] args) throws IOException {
        Bench.main(Case7::run);
    }

    private static int run(boolean trouble) throws Exception {
        Bench.Discovery discovery = new Bench.Discovery();
        Bench.Counter counter = new Bench.Counter();
        for (int i = 0; i < PLAN_SERVERS; i++) {
            Bench.PlanServer server = new Bench.PlanServer("s-" + i, (words, socket, out) -> {
                Bench.sleep(WORK_MS);
                Bench.served(out, "plan");
            });
            discovery.put(server.name, server.server.address(), "in_service", 0);
        }
        int port = Bench.freePort();
        Bench.Gateway gateway = new Bench.Gateway(
                "n0",
                port,
                Bench.configuration("n0", port, discovery, counter, 1, 0, Bench.SANTIAGO_CLASSES, "", 1024),
                Map.of());
        gateway.awaitReady();

        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Bench.daemon(() -> usualClient(client, port));
        }
        Bench.sleep(BEFORE_MS);
        Bench.log("sent " + sent + ", answered " + answered);
        for (int c = 0; c < BAD_CLIENTS; c++) {
            int client = c;
            Bench.daemon(() -> badClient(client, port, trouble ? ",".repeat(LONG_LIST) : ",".repeat(60)));
        }
        for (double until = Bench.nowMs() + AFTER_MS; Bench.nowMs() < until; ) {
            Bench.sleep(1000);
            Bench.log("sent " + sent + ", answered " + answered + ", not answered in time " + unanswered
                    + ", error lines to the bad clients " + badAnswers + ", the gateway runs: " + gateway.isAlive());
        }
        end.set(true);
        Bench.sleep(PATIENCE_MS + LATE_MS + 200);
        Bench.log("sent " + sent + ", answered " + answered + ", not answered in time " + unanswered);
        return unanswered.get() > 0 || !gateway.isAlive() ? Bench.BROKEN : Bench.HELD;
    }

    private static void badClient(int client, int port, String fields) throws IOException {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
            commands.writeBytes(Bench.encode("Q.ASK", Bench.customer(9000 + client), "bad" + client + "-" + i, fields));
        }
        try (Socket socket = new Socket(Bench.LOOPBACK, port)) {
            Bench.log("bad client " + client + " sends " + COMMANDS_AT_ONCE + " commands with a list of "
                    + fields.length() + " bytes");
            Bench.daemon(() -> socket.getOutputStream().write(commands.toByteArray()));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) { // it reads what it is sent
                Bench.resp(in);
                badAnswers.incrementAndGet();
            }
        }
    }

    /** Sends one request after the other, and gives up one that is not answered in its time and half a second. */
    private static void usualClient(int client, int port) {
        for (int i = 0; !end.get(); ) {
            try (Socket socket = new Socket(Bench.LOOPBACK, port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MS + LATE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (; !end.get(); i++) {
                    sent.incrementAndGet();
                    socket.getOutputStream().write(Bench.encode(
                            "Q.ASK",
                            Bench.customer(1 + client * 50 + i % 50),
                            "r" + client + "-" + i,
                            "c=plan-read,t=red,d=" + PATIENCE_MS + ",units=1,spread=1,first=0"));
                    Bench.resp(in);
                    answered.incrementAndGet();
                    Bench.sleep(PAUSE_MS);
                }
            } catch (SocketTimeoutException e) {
                unanswered.incrementAndGet();
                i++;
                Bench.log("client " + client + ": no answer after " + (PATIENCE_MS + LATE_MS) + " ms");
            } catch (IOException e) {
                unanswered.incrementAndGet();
                i++;
                Bench.log("client " + client + ": " + e.getMessage());
                Bench.sleep(100);
            }
        }
    }
}
