package stonelb.standins;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server on a loopback address that handles each connection on its own thread, and the reading and writing of
 * RESP2 and HTTP/1.1 that handlers and test clients need.
 */
public final class StubServer implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int BACKLOG = 512;

    private final ServerSocket listener;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /** Handles one connection until it returns or fails; the connection is then closed. */
    public interface ConnectionHandler {
        /** Handles a connection from its start to its end. */
        void handle(InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    /**
     * An HTTP request or response.
     *
     * @param startLine the start line
     * @param headers the headers, with names in lower case
     * @param body the body, empty if absent
     */
    public record HttpMessage(String startLine, Map<String, String> headers, String body) {

        /** Returns the status of a response. */
        public int status() {
            return Integer.parseInt(secondWord());
        }

        /** Returns the target of a request. */
        public String target() {
            return secondWord();
        }

        private String secondWord() {
            return startLine.split(" ", -1)[1];
        }
    }

    /** Listens on a free port of 127.0.0.1. */
    public StubServer(ConnectionHandler handler) throws IOException {
        this(handler, LOOPBACK, 0);
    }

    /**
     * Listens on a loopback address; plan servers share a port and have different addresses.
     *
     * @param port the port, 0 for a free one
     */
    public StubServer(ConnectionHandler handler, String host, int port) throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), BACKLOG);
        startDaemon(() -> acceptAll(handler));
    }

    private void acceptAll(ConnectionHandler handler) throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            openSockets.add(socket);
            startDaemon(() -> handle(socket, handler));
        }
    }

    private void handle(Socket socket, ConnectionHandler handler) throws IOException, InterruptedException {
        try (socket) {
            handler.handle(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
        } finally {
            openSockets.remove(socket);
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection or the server was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port on which it listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the address on which it listens, HOST:PORT. */
    public String address() {
        return listener.getInetAddress().getHostAddress() + ":" + port();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return openSockets.size();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }

    /**
     * Reads a line without its terminator.
     *
     * @throws EOFException if the input ends before the line does
     */
    public static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("input ended after '" + line + "'");
            }
            line.append((char) next);
        }
        return line.toString().stripTrailing();
    }

    /** Reads a RESP2 value as text: a simple value as its line, a bulk string as its content, an array in brackets. */
    public static String readResp(InputStream in) throws IOException {
        String line = readLine(in);
        if (line.startsWith("*")) {
            return readArray(in, line).toString();
        }
        return line.startsWith("$") ? readBulkString(in, line) : line;
    }

    /** Reads the words of a RESP2 command. */
    public static List<String> readCommand(InputStream in) throws IOException {
        return readArray(in, readLine(in));
    }

    private static List<String> readArray(InputStream in, String header) throws IOException {
        List<String> elements = new ArrayList<>();
        for (int remaining = Integer.parseInt(header.substring(1)); remaining > 0; remaining--) {
            elements.add(readResp(in));
        }
        return elements;
    }

    private static String readBulkString(InputStream in, String header) throws IOException {
        int length = Integer.parseInt(header.substring(1));
        if (length < 0) {
            return "null";
        }
        String text = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        readLine(in);
        return text;
    }

    /** Reads an HTTP request or response whose body, if any, has a Content-Length. */
    public static HttpMessage readHttp(InputStream in) throws IOException {
        String start = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new HttpMessage(start, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    /** Writes text in ISO-8859-1 and flushes it. */
    public static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /**
     * Returns the text of an HTTP response.
     *
     * @param headers additional header lines, each with its CRLF
     */
    public static String httpResponse(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
