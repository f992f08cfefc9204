package stonelb.description;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** The segments of URI paths and their percent-encoding (RFC 3986). */
final class PathSegments {
    private static final int HEX_RADIX = 16;

    private PathSegments() {}

    /** Splits a path that begins with a slash into its segments, without decoding them. */
    static String[] split(String path) {
        return path.substring(1).split("/", -1);
    }

    /** Decodes a segment; returns it unchanged if its percent-encoding is malformed. */
    static String decodeOrKeep(String segment) {
        String decoded = decode(segment);
        return decoded == null ? segment : decoded;
    }

    /** Decodes a segment; null if its percent-encoding is malformed. */
    static String decode(String segment) {
        if (segment.indexOf('%') < 0) {
            return segment;
        }
        ByteArrayOutputStream decoded = new ByteArrayOutputStream();
        byte[] bytes = segment.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != '%') {
                decoded.write(bytes[i]);
                continue;
            }
            int high = hexDigit(bytes, i + 1);
            int low = hexDigit(bytes, i + 2);
            if (high < 0 || low < 0) {
                return null;
            }
            decoded.write(high << 4 | low);
            i += 2;
        }
        return decoded.toString(StandardCharsets.UTF_8);
    }

    /** The value of the hexadecimal digit at an index; -1 if there is none. */
    private static int hexDigit(byte[] bytes, int index) {
        return index < bytes.length ? Character.digit(bytes[index], HEX_RADIX) : -1;
    }
}
