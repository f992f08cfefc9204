package stonelb.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Writes HTTP/1.1 messages. Headers that concern a single connection (hop-by-hop, RFC 9110) are left out. */
public final class HttpWriter {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private static final Map<Integer, String> REASONS = Map.of(
            200, "OK",
            400, "Bad Request",
            404, "Not Found",
            405, "Method Not Allowed",
            429, "Too Many Requests",
            431, "Request Header Fields Too Large",
            502, "Bad Gateway",
            504, "Gateway Timeout");

    private static final String NO_HEADER = "";

    private HttpWriter() {}

    /** The reason phrase of a status code. */
    public static String reason(int status) {
        return REASONS.getOrDefault(status, "Status");
    }

    /** Writes a response with its body; {@code close} announces to the client that the connection closes after it. */
    public static void response(ByteBuf out, int status, Map<String, String> headers, byte[] body, boolean close) {
        writeStatusLine(out, status);
        writeHeaders(out, headers, NO_HEADER, "content-length");
        writeConnectionHeader(out, close);
        boolean hasLength = status != 204 && status != 304;
        write(out, (hasLength ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n");
        out.writeBytes(body);
    }

    /** Writes the response to a HEAD request: with the Content-Length that the endpoint sent, and no body. */
    public static void headResponse(ByteBuf out, int status, Map<String, String> headers, boolean close) {
        writeStatusLine(out, status);
        writeHeaders(out, headers, NO_HEADER, NO_HEADER);
        writeConnectionHeader(out, close);
        write(out, "\r\n");
    }

    /** Writes a request with its body; {@code authority} is the value of the Host header. */
    public static void request(
            ByteBuf out, String method, String target, String authority, Map<String, String> headers, byte[] body) {
        write(out, method + " " + target + " HTTP/1.1\r\nHost: " + authority + "\r\n");
        writeHeaders(out, headers, "host", "content-length");
        boolean hasLength = body.length > 0 || method.matches("POST|PUT|PATCH");
        write(out, (hasLength ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n");
        out.writeBytes(body);
    }

    private static void writeStatusLine(ByteBuf out, int status) {
        write(out, "HTTP/1.1 " + status + " " + reason(status) + "\r\n");
    }

    private static void writeConnectionHeader(ByteBuf out, boolean close) {
        if (close) {
            write(out, "Connection: close\r\n");
        }
    }

    /** Writes the end-to-end headers, except for two that the caller writes. */
    private static void writeHeaders(
            ByteBuf out, Map<String, String> headers, String firstExcluded, String secondExcluded) {
        Set<String> connectionOptions = connectionOptions(headers);
        headers.forEach((name, value) -> {
            String lowerCaseName = name.toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(lowerCaseName)
                    && !lowerCaseName.equals(firstExcluded)
                    && !lowerCaseName.equals(secondExcluded)
                    && !connectionOptions.contains(lowerCaseName)) {
                writeHeader(out, name, value);
            }
        });
    }

    /** The names of further hop-by-hop headers, which the Connection header lists. */
    private static Set<String> connectionOptions(Map<String, String> headers) {
        String value = headers.get("connection");
        if (value == null) {
            return Set.of();
        }
        String[] options = value.toLowerCase(Locale.ROOT).replace(" ", "").split(",", -1);
        return new HashSet<>(Arrays.asList(options));
    }

    /** Writes a header line for each line of the value, see {@link HttpMessage#headers}. */
    // Trailing empty values are dropped, as String.split does.
    @SuppressWarnings("StringSplitter")
    private static void writeHeader(ByteBuf out, String name, String value) {
        for (String line : value.split("\n")) {
            write(out, name + ": " + line + "\r\n");
        }
    }

    private static void write(ByteBuf out, String text) {
        out.writeCharSequence(text, StandardCharsets.UTF_8);
    }
}
