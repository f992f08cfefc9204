package stonelb.http;

import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import stonelb.io.InputBuffer;
import stonelb.io.MalformedInputException;

/**
 * Incremental parser of HTTP/1.1 requests or responses (RFC 9112). Bodies are delimited by Content-Length, by chunked
 * transfer coding or, in responses, by the end of the connection. One parser serves one connection and its messages in
 * order.
 */
public final class HttpParser {
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5]\\d\\d");
    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
    private static final Pattern LENGTH_DIGITS = Pattern.compile("[0-9a-fA-F]{1,10}");
    private static final int MAX_LINE_BYTES = 8192;

    /** Limit on the start line and the headers of a message, as received. */
    private static final int MAX_HEAD_BYTES = 32 * 1024;

    /** Limit on the header lines of a message, and on its trailers. */
    private static final int MAX_HEADERS = 100;

    /** Memory of a header besides its characters: two strings, and an entry in the map of headers. */
    private static final int HEADER_OVERHEAD_BYTES = 160;

    private static final int INITIAL_BODY_BYTES = 32;

    /** What the next bytes of the input are. */
    private enum State {
        START_LINE,
        HEADERS,
        BODY_BY_LENGTH,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS
    }

    private final boolean readsResponses;
    private final int maxBodyBytes;
    private boolean withoutBody;

    private State state = State.START_LINE;

    /** Bytes of the current line that are known to contain no line feed. */
    private int scannedBytes;

    private String[] startLine;
    private Map<String, String> headers;
    private int headerCount;
    private int headBytes;
    private boolean headTooLarge;
    private int trailerCount;
    private ByteArrayOutputStream body;

    /** Bytes still to come of the body, or of the current chunk. */
    private int remainingBytes;

    /**
     * Creates a parser of responses or, if {@code readsResponses} is false, of requests. Bodies larger than {@code
     * maxBodyBytes} are rejected as malformed.
     */
    public HttpParser(boolean readsResponses, int maxBodyBytes) {
        this.readsResponses = readsResponses;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Sets whether the following responses have no body regardless of their Content-Length, as responses to HEAD do. */
    public void expectBodiless(boolean expected) {
        withoutBody = expected;
    }

    /** Whether a message has begun and is not complete. */
    public boolean isMidMessage() {
        return state != State.START_LINE || scannedBytes > 0;
    }

    /** Memory in bytes of the part of an incomplete message that was consumed from the input. */
    public int bufferedBytes() {
        return headMemoryBytes() + (body == null ? 0 : body.size());
    }

    private int headMemoryBytes() {
        return headBytes * Character.BYTES + headerCount * HEADER_OVERHEAD_BYTES;
    }

    /** Whether the input was rejected because its headers exceed a limit. */
    public boolean isHeadTooLarge() {
        return headTooLarge;
    }

    /** Whether the head of a message is complete but its body is not. */
    public boolean awaitsBody() {
        return state != State.START_LINE && state != State.HEADERS;
    }

    /** Whether the sender waits for an interim response (100 Continue) before it sends the body. */
    public boolean expectsContinue() {
        return awaitsBody() && "100-continue".equalsIgnoreCase(headers.get("expect"));
    }

    /**
     * Parses and consumes the next complete message, or returns null if more input is needed.
     *
     * @throws MalformedInputException if the input violates the protocol or a limit; the parser must not be used again
     */
    public HttpMessage next(InputBuffer in) throws MalformedInputException {
        while (true) {
            switch (state) {
                case BODY_BY_LENGTH -> {
                    return readBody(in) ? completeMessage() : null;
                }
                case CHUNK_DATA -> {
                    if (!readBody(in)) {
                        return null;
                    }
                    state = State.CHUNK_END;
                }
                case BODY_UNTIL_CLOSE -> {
                    checkBodySize(in.size());
                    moveToBody(in, in.size());
                    return null;
                }
                default -> {
                    String line = readLine(in);
                    if (line == null) {
                        return null;
                    }
                    HttpMessage message = parseLine(line);
                    if (message != null) {
                        return message;
                    }
                }
            }
        }
    }

    /** Returns the message that the end of the connection completes, or null. */
    public HttpMessage endOfInput() {
        return state == State.BODY_UNTIL_CLOSE ? completeMessage() : null;
    }

    /** Reads the available part of the body or chunk; returns whether it is complete. */
    private boolean readBody(InputBuffer in) {
        int length = Math.min(remainingBytes, in.size());
        moveToBody(in, length);
        remainingBytes -= length;
        return remainingBytes == 0;
    }

    private void moveToBody(InputBuffer in, int length) {
        body.writeBytes(in.copy(0, length));
        in.skip(length);
    }

    /** Parses a line in one of the line-based states; returns the message that it completes, or null. */
    private HttpMessage parseLine(String line) throws MalformedInputException {
        switch (state) {
            case START_LINE -> {
                // RFC 9112, 2.2: empty lines before a message are ignored.
                if (!line.isEmpty()) {
                    parseStartLine(line);
                }
            }
            case HEADERS -> {
                if (line.isEmpty()) {
                    return finishHead();
                }
                parseHeader(line);
            }
            case CHUNK_SIZE -> parseChunkSize(line);
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new MalformedInputException("a chunk does not end where its length says");
                }
                state = State.CHUNK_SIZE;
            }
            default -> {
                if (line.isEmpty()) {
                    return completeMessage();
                }
                countTrailer();
            }
        }
        return null;
    }

    private void parseStartLine(String line) throws MalformedInputException {
        startLine = line.split(" ", 3);
        if (!(readsResponses ? isStatusLine(startLine) : isRequestLine(startLine))) {
            throw new MalformedInputException("a start line is not one of HTTP/1.1");
        }
        headers = new LinkedHashMap<>();
        headBytes = line.length();
        state = State.HEADERS;
    }

    private static boolean isStatusLine(String[] parts) {
        return parts.length >= 2
                && parts[0].startsWith("HTTP/1.")
                && STATUS_CODE.matcher(parts[1]).matches();
    }

    private static boolean isRequestLine(String[] parts) {
        return parts.length == 3
                && parts[2].startsWith("HTTP/1.")
                && METHOD.matcher(parts[0]).matches();
    }

    private void parseHeader(String line) throws MalformedInputException {
        headerCount++;
        headBytes += line.length();
        if (headerCount > MAX_HEADERS || headBytes > MAX_HEAD_BYTES) {
            throw headTooLarge();
        }
        int colon = line.indexOf(':');
        // Another server may treat a bare carriage return as a line end and so see two headers.
        boolean bareCarriageReturn = line.indexOf('\r') >= 0;
        if (bareCarriageReturn || colon <= 0 || line.charAt(colon - 1) == ' ' || line.charAt(0) == ' ') {
            throw new MalformedInputException("a header is malformed");
        }
        addHeader(
                line.substring(0, colon).toLowerCase(Locale.ROOT),
                line.substring(colon + 1).strip());
    }

    private MalformedInputException headTooLarge() {
        headTooLarge = true;
        return new MalformedInputException("the headers of a message are too large, or there are too many");
    }

    private void addHeader(String name, String value) throws MalformedInputException {
        String previous = headers.put(name, value);
        if (previous == null) {
            return;
        }
        if (name.equals("content-length")) {
            if (!previous.equals(value)) {
                throw new MalformedInputException("a message states two lengths");
            }
            return;
        }
        // Set-Cookie values cannot be joined by a comma; a line feed separates them, which no value contains.
        String separator = name.equals("set-cookie") ? "\n" : ", ";
        headers.put(name, previous + separator + value);
    }

    /** Determines from the complete head how the body is delimited; returns the message if it has no body. */
    private HttpMessage finishHead() throws MalformedInputException {
        body = new ByteArrayOutputStream(INITIAL_BODY_BYTES);
        int status = readsResponses ? Integer.parseInt(startLine[1]) : 0;
        if (status / 100 == 1) {
            releaseMessage(); // an interim response: the final one follows
            return null;
        }
        if (withoutBody || status == 204 || status == 304) {
            return completeMessage();
        }
        String transferCoding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (transferCoding != null) {
            // With both headers, two servers may see different ends of the message (request smuggling).
            if (!transferCoding.equalsIgnoreCase("chunked") || length != null) {
                throw new MalformedInputException("a message has a coding that is not known, or two lengths");
            }
            state = State.CHUNK_SIZE;
        } else if (length == null && readsResponses) {
            state = State.BODY_UNTIL_CLOSE;
        } else {
            remainingBytes = length == null ? 0 : parseLength(length, 10);
            checkBodySize(remainingBytes);
            state = State.BODY_BY_LENGTH;
        }
        return null;
    }

    private void parseChunkSize(String line) throws MalformedInputException {
        int extensionStart = line.indexOf(';');
        String size = extensionStart < 0 ? line : line.substring(0, extensionStart);
        remainingBytes = parseLength(size.strip(), 16);
        checkBodySize(remainingBytes);
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private void countTrailer() throws MalformedInputException {
        if (++trailerCount > MAX_HEADERS) {
            throw new MalformedInputException("too many trailers");
        }
    }

    private void checkBodySize(int additionalBytes) throws MalformedInputException {
        // The sum could overflow: a chunk may declare any size up to Integer.MAX_VALUE.
        if (additionalBytes > maxBodyBytes - body.size()) {
            throw new MalformedInputException("a body is larger than " + maxBodyBytes + " bytes");
        }
    }

    private static int parseLength(String text, int radix) throws MalformedInputException {
        try {
            if (LENGTH_DIGITS.matcher(text).matches()) {
                return Integer.parseInt(text, radix);
            }
        } catch (NumberFormatException e) {
            // too large for an int: rejected below, like text without digits
        }
        throw new MalformedInputException("a length is not a number in bounds");
    }

    private HttpMessage completeMessage() {
        String versionOrReason = startLine.length > 2 ? startLine[2] : "";
        HttpMessage message = new HttpMessage(
                startLine[0], startLine[1], versionOrReason, headers, headMemoryBytes(), body.toByteArray());
        releaseMessage();
        return message;
    }

    private void releaseMessage() {
        state = State.START_LINE;
        startLine = null;
        headers = null;
        headerCount = 0;
        headBytes = 0;
        body = null;
        trailerCount = 0;
    }

    /** Consumes a line and returns it without its line end; null if it is incomplete. */
    private String readLine(InputBuffer in) throws MalformedInputException {
        int end = in.lineEnd(scannedBytes);
        if ((end < 0 ? in.size() : end) > MAX_LINE_BYTES) {
            throw state == State.HEADERS ? headTooLarge() : new MalformedInputException("a line is too long");
        }
        if (end < 0) {
            scannedBytes = in.size();
            return null;
        }
        boolean endsWithCarriageReturn = end > 0 && in.at(end - 1) == '\r';
        String line = in.text(0, endsWithCarriageReturn ? end - 1 : end);
        in.skip(end + 1);
        scannedBytes = 0;
        return line;
    }
}
