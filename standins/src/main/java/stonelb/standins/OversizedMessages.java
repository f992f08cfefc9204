package stonelb.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Messages far larger than any limit, as faulty peers send them. They are written without being held in memory. */
public final class OversizedMessages {
    /** The size of each message in bytes, or the next larger size that completes it. */
    private static final int BYTES = 60_000_000;

    /** The elements of each RESP2 array in a nested value, as many as the gateway accepts. */
    private static final int ARRAY_LENGTH = 64;

    private static final int HEADERS_PER_WRITE = 64;

    private OversizedMessages() {}

    /**
     * Writes a RESP2 value of arrays in arrays that all hold the same element, at a depth of four. It is a well-formed
     * value if it is complete, but no command and no response.
     *
     * @param element a complete RESP2 value
     * @throws IOException if the peer closes the connection before it has read the value
     */
    public static void writeNestedValue(OutputStream out, String element) throws IOException {
        byte[] arrayHeader = bytes("*" + ARRAY_LENGTH + "\r\n");
        byte[] innermostArray = bytes("*" + ARRAY_LENGTH + "\r\n" + element.repeat(ARRAY_LENGTH));
        int written = 0;
        out.write(arrayHeader);
        for (int i = 0; i < ARRAY_LENGTH; i++) {
            out.write(arrayHeader);
            for (int j = 0; j < ARRAY_LENGTH; j++) {
                out.write(arrayHeader);
                for (int k = 0; k < ARRAY_LENGTH && written < BYTES; k++) {
                    out.write(innermostArray);
                    written += innermostArray.length;
                }
            }
        }
        out.flush();
    }

    /**
     * Writes the head of an HTTP message that repeats one header.
     *
     * @throws IOException if the peer closes the connection before it has read the head
     */
    public static void writeHead(OutputStream out, String startLine, String header) throws IOException {
        byte[] headers = bytes((header + "\r\n").repeat(HEADERS_PER_WRITE));
        out.write(bytes(startLine + "\r\n"));
        for (int written = 0; written < BYTES; written += headers.length) {
            out.write(headers);
        }
        out.write(bytes("\r\n"));
        out.flush();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
