import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A toy version of everything that a gateway connects to: discovery, the quota counter and one plan server, which echoes
 * requests over RESP2 and over HTTP. Start it with {@code java examples/ToyPlatform.java}; its ports are those of
 * examples/config.json and examples/openapi.json. With the argument 0 it listens on free ports. It prints its addresses.
 */
public final class ToyPlatform {
    private static final String HOST = "127.0.0.1";
    private static final String CONTENT_LENGTH = "content-length:";

    private final Map<String, Double> counterTotals = new HashMap<>();
    private final String endpoints;

    /** Handles one connection until its client closes it. */
    private interface ConnectionHandler {
        void handle(InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    private record Request(String method, String target, String body) {}

    private ToyPlatform(int planServerPort) {
        endpoints = "\"endpoints\":[{\"name\":\"s-toy\",\"address\":\"" + HOST + ":" + planServerPort
                + "\",\"zone\":\"a\",\"type\":\"toy\",\"group\":0,\"status\":\"in_service\",\"weight\":1.0,"
                + "\"since_ms\":0}]}";
    }

    /**
     * Starts all servers.
     *
     * @param args empty for the ports of the example, or 0 for free ports
     */
    public static void main(String[] args) throws IOException {
        boolean freePorts = args.length > 0 && args[0].equals("0");
        int planServerPort = listen("plan server, RESP2", freePorts ? 0 : 6380, ToyPlatform::handleResp);
        ToyPlatform platform = new ToyPlatform(planServerPort);
        listen("plan server, HTTP", freePorts ? 0 : 8081, ToyPlatform::handleHttp);
        listen("counter", freePorts ? 0 : 6400, platform::handleCounter);
        listen("discovery", freePorts ? 0 : 8500, platform::handleDiscovery);
    }

    /** Starts one server, prints its address and returns its port. */
    private static int listen(String name, int port, ConnectionHandler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(HOST, port));
        new Thread(() -> acceptAll(name, listener, handler)).start();
        System.out.println(name + " " + HOST + ":" + listener.getLocalPort());
        return listener.getLocalPort();
    }

    private static void acceptAll(String name, ServerSocket listener, ConnectionHandler handler) {
        while (true) {
            try {
                Socket socket = listener.accept();
                new Thread(() -> handle(socket, handler)).start();
            } catch (IOException e) {
                System.err.println(name + ": " + e.getMessage());
            }
        }
    }

    private static void handle(Socket socket, ConnectionHandler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            handler.handle(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
        } catch (IOException | InterruptedException e) {
            // The client has closed the connection.
        }
    }

    /** Responds with the full endpoint list, and to a watch with no changes after its wait time. */
    private void handleDiscovery(InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            String target = readRequest(in).target();
            if (target.contains("index=1&wait=")) {
                Thread.sleep(Long.parseLong(target.replaceAll(".*wait=(\\d+).*", "$1")));
                respond(out, "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}");
            } else {
                respond(out, "{\"index\":1,\"snapshot\":true," + endpoints);
            }
        }
    }

    /** Adds up the amounts of each name; totals never expire here. */
    private void handleCounter(InputStream in, OutputStream out) throws IOException {
        while (true) {
            String target = readRequest(in).target();
            String name = target.replaceAll("\\?.*", "");
            double amount = Double.parseDouble(target.replaceAll(".*by=([^&]*).*", "$1"));
            double total;
            synchronized (counterTotals) {
                total = counterTotals.merge(name, amount, Double::sum);
            }
            respond(out, Double.toString(total));
        }
    }

    private static void handleHttp(InputStream in, OutputStream out) throws IOException {
        while (true) {
            Request request = readRequest(in);
            respond(out, request.method() + " " + request.target() + " " + request.body());
        }
    }

    private static void handleResp(InputStream in, OutputStream out) throws IOException {
        while (true) {
            String echo = String.join(" ", readCommand(in));
            int length = echo.getBytes(StandardCharsets.UTF_8).length;
            write(out, "*3\r\n$" + length + "\r\n" + echo + "\r\n$-1\r\n$-1\r\n");
        }
    }

    private static List<String> readCommand(InputStream in) throws IOException {
        List<String> words = new ArrayList<>();
        for (int remaining = Integer.parseInt(readLine(in).substring(1)); remaining > 0; remaining--) {
            int length = Integer.parseInt(readLine(in).substring(1));
            words.add(new String(in.readNBytes(length), StandardCharsets.UTF_8));
            readLine(in);
        }
        return words;
    }

    private static Request readRequest(InputStream in) throws IOException {
        String[] startLine = readLine(in).split(" ");
        int length = 0;
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            if (header.toLowerCase(Locale.ROOT).startsWith(CONTENT_LENGTH)) {
                length = Integer.parseInt(
                        header.substring(CONTENT_LENGTH.length()).strip());
            }
        }
        return new Request(startLine[0], startLine[1], new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            line.append((char) next);
        }
        return line.toString().stripTrailing();
    }

    private static void respond(OutputStream out, String body) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
