import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Calm traffic in which a third of the requests and answers are long: up to 64 KiB, as the protocol page allows. Each client waits
 * for its answer before it asks again, reads at once, and nothing fails. Broken if the gateway's process ends, or if a
 * request on a connection that the gateway accepted is never answered.
 */
final class Case6 {
    private static final int PLAN_SERVERS = 14;
    private static final int REQUESTS_PER_S = 480; // up to four times 140 at one gateway
    private static final double PLAN_READ_SHARE = 0.65;
    private static final int READ_MS = 40;
    private static final int LOG_MS = 80;
    private static final long SEND_FOR_MS = 25_000;
    private static final int CUSTOMERS = 2000;
    private static final String LONG_VALUE = "v".repeat(64 * 1024);
    private static final String LONG_BODY = "b".repeat(60 * 1024);
    private static final String SHORT_VALUE = "v".repeat(200);

    private record Link(Socket socket, InputStream in) {}

    private Case6() {}

    public static void main(String[] args) throws IOException {
        Bench.main(Case6::run);
    }

    private static boolean isLong(int request) {
        return request % 3 == 0;
    }

    private static int run(boolean trouble) throws Exception {
        Bench.Discovery discovery = new Bench.Discovery();
        Bench.Counter counter = new Bench.Counter();
        AtomicInteger executed = new AtomicInteger();
        AtomicInteger longValues = new AtomicInteger();
        for (int i = 0; i < PLAN_SERVERS; i++) {
            Bench.PlanServer server = new Bench.PlanServer("s-" + i, (words, socket, out) -> {
                executed.incrementAndGet();
                boolean isLong = trouble && isLong(Integer.parseInt(words.get(2).substring(1)));
                Bench.sleep(words.get(0).equals("Q.ASK") ? READ_MS : LOG_MS);
                Bench.served(out, isLong ? LONG_VALUE : SHORT_VALUE);
                longValues.addAndGet(isLong ? 1 : 0);
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

        ConcurrentLinkedDeque<Link> links = new ConcurrentLinkedDeque<>();
        ExecutorService clients = Executors.newCachedThreadPool();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger refusedConnections = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Map<String, Integer> answers = new TreeMap<>();
        Random random = new Random(43);
        double start = Bench.nowMs();
        double reportAt = start + 1000;
        for (int i = 0; Bench.nowMs() < start + SEND_FOR_MS && gateway.isAlive(); i++) {
            while (Bench.nowMs() < start + i * 1000.0 / REQUESTS_PER_S) {
                Bench.sleep(1);
            }
            String customer = Bench.customer(1 + i % CUSTOMERS);
            boolean read = random.nextDouble() < PLAN_READ_SHARE;
            long patience = (long) ((read ? 4000 : 7500) * (0.5 + 0.5 * random.nextDouble()));
            String fields =
                    "c=" + (read ? "plan-read" : "session-log") + ",t=red,d=" + patience + ",units=1,spread=1,first=0";
            byte[] command = read
                    ? Bench.encode("Q.ASK", customer, "q" + i, fields)
                    : Bench.encode("Q.DO", customer, "q" + i, fields, trouble && isLong(i) ? LONG_BODY : "SESSION");
            clients.execute(() -> {
                Link link = links.pollLast();
                try {
                    if (link == null) {
                        Socket socket = new Socket(Bench.LOOPBACK, port);
                        socket.setTcpNoDelay(true);
                        link = new Link(socket, new BufferedInputStream(socket.getInputStream()));
                    }
                } catch (IOException e) {
                    refusedConnections.incrementAndGet();
                    return;
                }
                sent.incrementAndGet();
                try {
                    link.socket().getOutputStream().write(command);
                    String answer = Bench.resp(link.in());
                    answered.incrementAndGet();
                    links.addLast(link);
                    synchronized (answers) {
                        answers.merge(answer.startsWith("$") ? "served" : answer.split(" ")[0], 1, Integer::sum);
                    }
                } catch (IOException e) {
                    lost.incrementAndGet();
                }
            });
            if (Bench.nowMs() > reportAt) {
                reportAt += 1000;
                synchronized (answers) {
                    Bench.log("sent " + sent + ", executed " + executed + ", long answers of plan servers "
                            + longValues + ", answered " + answered + " " + answers + ", gateway "
                            + gateway.residentKb() / 1024 + " MB");
                }
            }
        }
        for (int i = 0; i < 100 && answered.get() + lost.get() < sent.get(); i++) {
            Bench.sleep(100);
        }
        Bench.sleep(200);
        int unanswered = sent.get() - answered.get();
        Bench.log("sent " + sent + ", answered " + answered + " " + answers + ", without an answer " + unanswered
                + ", connections refused " + refusedConnections);
        if (!gateway.isAlive()) {
            Bench.log("the gateway's process ended with exit code " + gateway.process.waitFor() + " after "
                    + longValues + " long answers");
            return Bench.BROKEN;
        }
        return unanswered > 0 ? Bench.BROKEN : Bench.HELD;
    }
}
