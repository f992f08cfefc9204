package stonelb.http;

import java.util.Locale;
import java.util.Map;

/**
 * A complete HTTP/1.1 message.
 *
 * @param methodOrVersion first part of the start line: method of a request, version of a response
 * @param targetOrStatusCode second part of the start line: target of a request, status code of a response
 * @param versionOrReason third part of the start line: version of a request, reason phrase of a response, which may be
 *     empty
 * @param headers by lower-case name; the values of repeated headers are joined by a comma and a space, those of
 *     Set-Cookie by a line feed
 * @param headMemoryBytes memory of the start line and the headers
 * @param body without transfer coding
 */
// Messages are not compared, and a copy of each body would cost time on every request.
@SuppressWarnings("ArrayRecordComponent")
public record HttpMessage(
        String methodOrVersion,
        String targetOrStatusCode,
        String versionOrReason,
        Map<String, String> headers,
        int headMemoryBytes,
        byte[] body) {

    /** The status code of a response. */
    public int status() {
        return Integer.parseInt(targetOrStatusCode);
    }

    /** Whether the sender keeps the connection open after this message. */
    public boolean keepsAlive() {
        String connectionHeader = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        boolean isHttp10 = methodOrVersion.equals("HTTP/1.0") || versionOrReason.equals("HTTP/1.0");
        return isHttp10 ? connectionHeader.contains("keep-alive") : !connectionHeader.contains("close");
    }
}
