import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What the cases share: the record, a gateway started by the `run` command of deploy/balancer.toml, and stand-ins of
 * discovery, the quota counter and plan servers that follow the protocol page. All addresses are loopback addresses and
 * all ports are free ones. Needs nothing but the JDK.
 */
final class Bench {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    static final long START_NANOS = System.nanoTime();
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private static PrintWriter record;
    private static final List<Closeable> open = new ArrayList<>();

    private Bench() {}

    /** A case: returns {@link #HELD}, {@link #BROKEN} or {@link #COULD_NOT_RUN}. */
    interface Case {
        int run(boolean trouble) throws Exception;
    }

    /** Runs a case, closes everything that it opened and exits with its result. */
    static void main(Case test) throws IOException {
        Path folder = Path.of(System.getProperty("case.folder", "."));
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        log("trouble: " + (trouble ? "yes" : "no"));
        Runtime.getRuntime().addShutdownHook(new Thread(Bench::closeAll));
        Thread limit = new Thread(() -> {
            sleep(115_000);
            log("RESULT could not run: over 115 s");
            closeAll();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        int result;
        try {
            result = test.run(trouble);
        } catch (Throwable e) {
            log("could not run: " + e);
            for (StackTraceElement line : e.getStackTrace()) {
                log("    " + line);
            }
            result = COULD_NOT_RUN;
        }
        log("RESULT " + (result == HELD ? "the rule held" : result == BROKEN ? "the rule was broken" : "could not run"));
        closeAll();
        Runtime.getRuntime().halt(result);
    }

    static void closeAll() {
        synchronized (open) {
            for (Closeable one : open) {
                try {
                    one.close();
                } catch (IOException e) {
                    // already closed
                }
            }
            open.clear();
        }
    }

    static <T extends Closeable> T register(T closeable) {
        synchronized (open) {
            open.add(0, closeable);
        }
        return closeable;
    }

    /** Milliseconds since the start of the case, on the monotonic clock. */
    static double nowMs() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    /** Writes a line to record.txt, with its time. */
    static void log(String line) {
        synchronized (Bench.class) {
            String text = String.format("%9.1f ms  %s", nowMs(), line);
            record.println(text);
            if (System.getenv("VERBOSE") != null) {
                System.err.println(text);
            }
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    interface IoTask {
        void run() throws Exception;
    }

    static Thread daemon(IoTask task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // the connection or the stand-in was closed
                    }
                },
                "stand-in",
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---------------------------------------------------------------------------------------------- RESP2 and HTTP

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("end of input");
            }
            if (next != '\r') {
                text.append((char) next);
            }
        }
        return text.toString();
    }

    /** Reads a RESP2 value: a line with its type, a bulk string as its content after "$", an array as the first. */
    static String resp(InputStream in) throws IOException {
        String head = line(in);
        if (head.startsWith("*")) {
            int count = Integer.parseInt(head.substring(1));
            String first = "*";
            for (int i = 0; i < count; i++) {
                String element = resp(in);
                first = i == 0 ? element : first;
            }
            return first;
        }
        if (head.startsWith("$")) {
            int length = Integer.parseInt(head.substring(1));
            if (length < 0) {
                return "null";
            }
            byte[] bytes = in.readNBytes(length);
            line(in);
            return "$" + new String(bytes, StandardCharsets.ISO_8859_1);
        }
        return head;
    }

    static List<String> command(InputStream in) throws IOException {
        int count = Integer.parseInt(line(in).substring(1));
        List<String> words = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int length = Integer.parseInt(line(in).substring(1));
            words.add(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
            line(in);
        }
        return words;
    }

    static byte[] encode(String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (String word : words) {
            out.writeBytes(("$" + word.length() + "\r\n" + word + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        return out.toByteArray();
    }

    static String field(String fields, String name) {
        for (String one : fields.split(",")) {
            if (one.startsWith(name + "=")) {
                return one.substring(name.length() + 1);
            }
        }
        return null;
    }

    record Http(String start, Map<String, String> headers, String body) {
        String target() {
            return start.split(" ")[1];
        }
    }

    static Http http(InputStream in) throws IOException {
        String start = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Http(start, headers, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
    }

    static void respond(OutputStream out, int status, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    // ------------------------------------------------------------------------------------------------- the stand-ins

    interface Handler {
        void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A server with a thread for each connection. */
    static class Server implements Closeable {
        final ServerSocket listener;
        final Map<Socket, Boolean> sockets = new ConcurrentHashMap<>();
        final AtomicInteger accepted = new AtomicInteger();

        Server(Handler handler) throws IOException {
            this(handler, 0);
        }

        Server(Handler handler, int port) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(LOOPBACK, port), 512);
            register(this);
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    accepted.incrementAndGet();
                    socket.setTcpNoDelay(true);
                    sockets.put(socket, true);
                    daemon(() -> {
                        try (socket) {
                            handler.handle(
                                    socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                        } finally {
                            sockets.remove(socket);
                        }
                    });
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets.keySet()) {
                socket.close();
            }
        }
    }

    /** Discovery: a snapshot without an index, and a watch that answers with all entries after a change. */
    static final class Discovery {
        private final Map<String, String> entries = new LinkedHashMap<>();
        private int index = 1;
        final Server server = new Server((socket, in, out) -> serve(in, out));

        Discovery() throws IOException {}

        synchronized void put(String name, String address, String status, long sinceMs) {
            entries.put(
                    name,
                    "{\"name\":\"" + name + "\",\"address\":\"" + address
                            + "\",\"zone\":\"a\",\"type\":\"m2\",\"group\":1,\"status\":\"" + status
                            + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}");
            index++;
            notifyAll();
        }

        private synchronized String snapshot() {
            return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values())
                    + "]}";
        }

        private void serve(InputStream in, OutputStream out) throws Exception {
            while (true) {
                String target = http(in).target();
                String body;
                int query = target.indexOf('?');
                if (query < 0) {
                    body = snapshot();
                } else {
                    String parameters = target.substring(query + 1).replace('&', ',');
                    int known = Integer.parseInt(field(parameters, "index"));
                    long until = System.nanoTime() + Long.parseLong(field(parameters, "wait")) * 1_000_000;
                    synchronized (this) {
                        while (known == index && System.nanoTime() < until) {
                            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                        }
                        body = known == index
                                ? "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[]}"
                                : snapshot();
                    }
                }
                respond(out, 200, body);
            }
        }
    }

    /** The quota counter: adds an amount to a name, which is forgotten when its life is over. */
    static final class Counter {
        private record Total(double sum, long forgottenAtNanos) {}

        private final Map<String, Total> totals = new HashMap<>();
        final Server server = new Server((socket, in, out) -> serve(in, out));

        Counter() throws IOException {}

        private void serve(InputStream in, OutputStream out) throws Exception {
            while (true) {
                String target = http(in).target();
                String name = target.substring(0, target.indexOf('?'));
                String parameters = target.substring(target.indexOf('?') + 1).replace('&', ',');
                double amount = Double.parseDouble(field(parameters, "by"));
                long lifeMs = Math.min(60_000, Long.parseLong(field(parameters, "expire_ms")));
                double sum;
                synchronized (totals) {
                    long now = System.nanoTime();
                    Total old = totals.get(name);
                    if (old == null || now > old.forgottenAtNanos()) {
                        old = new Total(0, now + lifeMs * 1_000_000);
                    }
                    sum = old.sum() + amount;
                    totals.put(name, new Total(sum, old.forgottenAtNanos()));
                }
                respond(out, 200, String.format(java.util.Locale.ROOT, "%.7g", sum));
            }
        }
    }

    /** What a plan server does with a command whose last byte has come. */
    interface PlanHandler {
        void handle(List<String> words, Socket socket, OutputStream out) throws Exception;
    }

    /** A plan server: handles the commands of a connection in order. */
    static final class PlanServer {
        final Server server;
        final String name;

        PlanServer(String name, PlanHandler handler) throws IOException {
            this.name = name;
            server = new Server((socket, in, out) -> {
                while (true) {
                    List<String> words = command(in);
                    handler.handle(words, socket, out);
                }
            });
        }
    }

    /** Writes the served answer of a plan server. */
    static void served(OutputStream out, String value) throws IOException {
        byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream answer = new ByteArrayOutputStream(bytes.length + 64);
        answer.writeBytes(("*3\r\n$" + bytes.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        answer.writeBytes(bytes);
        answer.writeBytes("\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.write(answer.toByteArray());
        out.flush();
    }

    // --------------------------------------------------------------------------------------------------- the gateway

    /** A gateway started by the `run` command of the deploy file, from the repository's root. */
    static final class Gateway implements Closeable {
        final int port;
        final Process process;
        final Path folder;
        private final Path logFile;
        private volatile boolean stopped;

        Gateway(String name, int port, String configuration, Map<String, String> environment) throws IOException {
            this.port = port;
            folder = Files.createTempDirectory("review-case");
            Path configFile = folder.resolve("config.json");
            Files.writeString(configFile, configuration);
            Path tmp = Files.createDirectory(folder.resolve("tmp"));
            logFile = folder.resolve("log.txt");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            builder.directory(root().toFile());
            builder.environment().put("PROXY_CONFIG", configFile.toString());
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("TMPDIR", tmp.toString());
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true);
            builder.redirectOutput(logFile.toFile());
            process = builder.start();
            register(this);
            log("gateway " + name + " started, process " + process.pid() + ", port " + port);
        }

        /** Waits until the gateway answers PING with +PONG, 30 s at most. */
        void awaitReady() throws IOException {
            double end = nowMs() + 30_000;
            while (nowMs() < end) {
                try (Socket socket = new Socket(LOOPBACK, port)) {
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write(encode("PING"));
                    if (line(socket.getInputStream()).equals("+PONG")) {
                        log("gateway is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                if (!process.isAlive()) {
                    throw new IOException("the gateway ended at its start: " + Files.readString(logFile));
                }
                sleep(20);
            }
            throw new IOException("the gateway is not ready after 30 s");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String signal) throws IOException {
            log("signal " + signal + " to process " + process.pid());
            try {
                new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).inheritIO().start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Resident memory in KB from /proc, -1 where it can't be read. */
        long residentKb() {
            try {
                for (String entry : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (entry.startsWith("VmRSS:")) {
                        return Long.parseLong(entry.replaceAll("\\D", ""));
                    }
                }
            } catch (IOException e) {
                // it has ended
            }
            return -1;
        }

        void logOutput() {
            try {
                for (String text : Files.readAllLines(logFile)) {
                    log("gateway's log: " + text);
                }
            } catch (IOException e) {
                log("the gateway's log can't be read");
            }
        }

        @Override
        public void close() throws IOException {
            if (stopped) {
                return;
            }
            stopped = true;
            logOutput();
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            try (var files = Files.walk(folder)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
    }

    static Path root() {
        return Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
    }

    /** A command of deploy/balancer.toml. */
    static String deployCommand(String key) throws IOException {
        for (String text : Files.readAllLines(root().resolve("deploy/balancer.toml"))) {
            if (text.startsWith(key + " = \"")) {
                int start = text.indexOf('"') + 1;
                int end = start;
                while (text.charAt(end) != '"' || text.charAt(end - 1) == '\\') {
                    end++;
                }
                return text.substring(start, end).replace("\\\"", "\"");
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /** A class of the settings. */
    static String category(String name, double deadlineMs, double promiseMs, String effect, String more) {
        return "{\"name\":\"" + name + "\",\"deadlineMs\":" + deadlineMs + ",\"promiseMs\":" + promiseMs
                + ",\"effect\":\"" + effect + "\",\"group\":\"all\",\"lateWorth\":0.0,\"stream\":false,"
                + "\"worth\":2.0" + more + "}";
    }

    /** The settings of the deployment santiago-campus, with the classes, limits and number of gateways given. */
    static String configuration(
            String name, int port, Discovery discovery, Counter counter, int gateways, int rank, String categories,
            String allowed, int sockets) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                + discovery.server.address() + "\",\"seed\":\"8c1f30d27a5be96" + rank
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\"counter\":\""
                + counter.server.address() + "\",\"known\":{\"index\":0,\"snapshot\":true,\"endpoints\":[]},"
                + "\"settings\":{\"balancers\":" + gateways + ",\"rank\":" + rank
                + ",\"tier\":0,\"stages\":[\"plan-servers\"],\"zone\":0,\"azs\":[\"a\"],\"kinds\":[\"m2\"],"
                + "\"stepMs\":2.0,\"discovery\":\"pushed\",\"weights\":\"nominal\",\"workload\":\"gate\","
                + "\"allowed\":{\"cancelling\":true,\"connIdleMs\":30000.0,\"connectTimeoutMs\":250.0,"
                + "\"maxAttempts\":6,\"maxOpen\":20000,\"maxRetryAfterMs\":1000.0,\"retryAfter\":false,"
                + "\"secondCopies\":false,\"streamsPerConn\":32" + allowed + "},"
                + "\"callers\":{\"marksRetry\":true},\"categories\":[" + categories + "],"
                + "\"familyInfo\":{\"costAfter\":false,\"counter\":true,\"countFee\":0.01,\"countWaitMs\":50.0,"
                + "\"largest\":1,\"meteringMs\":1000.0},"
                + "\"report\":{\"fields\":[],\"how\":\"off\"},"
                + "\"rules\":{\"answerSlackMs\":8.0,\"coldFrom\":0.19,\"drainGraceMs\":1000.0,\"fallMs\":1500.0,"
                + "\"fallMultiple\":2.5,\"rampTimeMs\":17000.0},"
                + "\"tiersOfService\":["
                + "{\"name\":\"consulta\",\"unitsPerS\":0.72,\"depth\":4.0,\"capRate\":0.0,\"hardBurst\":0.0,"
                + "\"hardSlack\":0.0,\"maxOut\":0,\"overWorth\":0.0,\"overrunCost\":1.0,\"worthFactor\":0.8},"
                + "{\"name\":\"centro\",\"unitsPerS\":2.2,\"depth\":11.0,\"capRate\":5.5,\"hardBurst\":27.0,"
                + "\"hardSlack\":3.0,\"maxOut\":0,\"overWorth\":0.0,\"overrunCost\":1.0,\"worthFactor\":1.3},"
                + "{\"name\":\"red\",\"unitsPerS\":8.1,\"depth\":14.0,\"capRate\":0.0,\"hardBurst\":0.0,"
                + "\"hardSlack\":0.0,\"maxOut\":0,\"overWorth\":0.2,\"overrunCost\":0.0,\"worthFactor\":1.4}]}}";
    }

    static final String SANTIAGO_CLASSES = category("plan-read", 4000, 1000, "idempotent", "") + ","
            + category("session-log", 7500, 2000, "at_most_once", "");

    static String customer(long number) {
        return String.format("%016x", number);
    }
}
