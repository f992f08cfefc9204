package stonelb.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import stonelb.io.InputBuffer;
import stonelb.io.MalformedInputException;
import stonelb.testing.RandomFragments;

/** Tests the parser with randomly fragmented messages, garbage, and input beyond its limits. */
class HttpParserTest {
    private static final int MAX_BODY_BYTES = 1000;

    /** How the end of a response body is determined. */
    private enum BodyFraming {
        CONTENT_LENGTH,
        CHUNKED,
        UNTIL_CLOSE
    }

    /** The result of parsing the input of a connection; {@code rejection} is null if nothing was malformed. */
    private record Outcome(List<String> messages, boolean incomplete, String rejection) {}

    private static RandomFragments.ParseStep collectInto(HttpParser parser, List<HttpMessage> parsed) {
        return in -> {
            for (HttpMessage message = parser.next(in); message != null; message = parser.next(in)) {
                parsed.add(message);
            }
        };
    }

    private static List<HttpMessage> parse(boolean responses, String text) throws MalformedInputException {
        List<HttpMessage> parsed = new ArrayList<>();
        RandomFragments.feed(
                text.getBytes(StandardCharsets.ISO_8859_1), 5, collectInto(new HttpParser(responses, 1000), parsed));
        return parsed;
    }

    @Property(seed = "43", tries = 300)
    void requestBodiesAreCompleteForAnyFragmentation(
            @ForAll @Size(min = 1, max = 4) List<byte[]> bodies, @ForAll boolean chunked, @ForAll long fragmentSeed)
            throws MalformedInputException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] body : bodies) {
            out.writeBytes(("POST /a?b HTTP/1.1\r\nX-A: 1\r\n"
                            + (chunked
                                    ? "Transfer-Encoding: chunked\r\n\r\n"
                                    : "Content-Length: " + body.length + "\r\n\r\n"))
                    .getBytes(StandardCharsets.US_ASCII));
            if (chunked && body.length > 0) {
                out.writeBytes((Integer.toHexString(body.length) + ";x=y\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            out.writeBytes(body);
            out.writeBytes((chunked ? (body.length > 0 ? "\r\n" : "") + "0\r\nT: 1\r\n\r\n" : "")
                    .getBytes(StandardCharsets.US_ASCII));
        }
        List<HttpMessage> parsed = new ArrayList<>();
        RandomFragments.feed(out.toByteArray(), fragmentSeed, collectInto(new HttpParser(false, 1 << 16), parsed));
        assertEquals(bodies.size(), parsed.size());
        for (int i = 0; i < bodies.size(); i++) {
            assertArrayEquals(bodies.get(i), parsed.get(i).body());
        }
    }

    private static byte[] response(byte[] body, BodyFraming framing, int chunkBytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        switch (framing) {
            case CONTENT_LENGTH -> {
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                out.writeBytes(body);
            }
            case CHUNKED -> {
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int start = 0; start < body.length; start += chunkBytes) {
                    byte[] chunk = Arrays.copyOfRange(body, start, Math.min(body.length, start + chunkBytes));
                    write(out, "00" + Integer.toHexString(chunk.length) + ";x=y\r\n");
                    out.writeBytes(chunk);
                    write(out, "\r\n");
                }
                write(out, "0\r\nT: 1\r\n\r\n");
            }
            case UNTIL_CLOSE -> {
                write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                out.writeBytes(body);
            }
        }
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** An interim response, then responses alternately chunked and with a Content-Length, except for the last one. */
    private static byte[] connectionInput(List<byte[]> bodies, BodyFraming lastFraming, int chunkBytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, "HTTP/1.1 100 Continue\r\n\r\n");
        for (int i = 0; i < bodies.size(); i++) {
            BodyFraming alternating = i % 2 == 0 ? BodyFraming.CHUNKED : BodyFraming.CONTENT_LENGTH;
            BodyFraming framing = i == bodies.size() - 1 ? lastFraming : alternating;
            out.writeBytes(response(bodies.get(i), framing, chunkBytes));
        }
        return out.toByteArray();
    }

    @Property(seed = "45", tries = 400)
    void responsesAreCompleteForAnyFragmentation(
            @ForAll @Size(min = 1, max = 4) List<byte[]> bodies,
            @ForAll BodyFraming lastFraming,
            @ForAll @IntRange(min = 1, max = 40) int chunkBytes,
            @ForAll long fragmentSeed)
            throws MalformedInputException {
        HttpParser parser = new HttpParser(true, MAX_BODY_BYTES);
        List<HttpMessage> parsed = new ArrayList<>();
        RandomFragments.feed(
                connectionInput(bodies, lastFraming, chunkBytes), fragmentSeed, collectInto(parser, parsed));
        if (lastFraming == BodyFraming.UNTIL_CLOSE) {
            assertEquals(bodies.size() - 1, parsed.size(), "the last body ends only when the connection is closed");
            parsed.add(parser.endOfInput());
        }
        assertFalse(parser.isMidMessage());
        assertEquals(bodies.size(), parsed.size());
        for (int i = 0; i < bodies.size(); i++) {
            assertArrayEquals(bodies.get(i), parsed.get(i).body());
        }
    }

    /** Parses the input as the feeder fragments it, then the end of the connection. */
    private static Outcome outcome(byte[] input, Feeder feeder) {
        HttpParser parser = new HttpParser(true, MAX_BODY_BYTES);
        List<HttpMessage> parsed = new ArrayList<>();
        String rejection = null;
        try {
            feeder.feed(input, collectInto(parser, parsed));
            HttpMessage last = parser.endOfInput();
            if (last != null) {
                parsed.add(last);
            }
        } catch (MalformedInputException e) {
            rejection = e.getMessage();
        }
        List<String> messages = parsed.stream()
                .map(message -> message.status() + " " + message.headers() + " " + Arrays.toString(message.body()))
                .toList();
        return new Outcome(messages, rejection == null && parser.isMidMessage(), rejection);
    }

    /** Passes input to a parser, whole or in fragments. */
    private interface Feeder {
        void feed(byte[] input, RandomFragments.ParseStep step) throws MalformedInputException;
    }

    private static void feedUnfragmented(byte[] input, RandomFragments.ParseStep step) throws MalformedInputException {
        feedFragmentsOf(input.length, input, step);
    }

    private static void feedFragmentsOf(int bytes, byte[] input, RandomFragments.ParseStep step)
            throws MalformedInputException {
        InputBuffer in = new InputBuffer(input.length);
        for (int start = 0; start < input.length; start += bytes) {
            in.append(input, start, Math.min(bytes, input.length - start));
            step.parse(in);
        }
    }

    @Property(seed = "46", tries = 1000)
    void fragmentationDoesNotChangeMessagesOrRejection(
            @ForAll @Size(min = 1, max = 3) List<byte[]> bodies,
            @ForAll BodyFraming lastFraming,
            @ForAll @IntRange(min = 1, max = 40) int chunkBytes,
            @ForAll boolean corrupted,
            @ForAll long seed) {
        byte[] input = connectionInput(bodies, lastFraming, chunkBytes);
        if (corrupted) {
            Random random = new Random(seed);
            input[random.nextInt(input.length)] = (byte) "\r\n:; 09fF\u0000".charAt(random.nextInt(10));
        }
        Outcome expected = outcome(input, HttpParserTest::feedUnfragmented);
        assertEquals(expected, outcome(input, (bytes, step) -> feedFragmentsOf(1, bytes, step)));
        assertEquals(expected, outcome(input, (bytes, step) -> RandomFragments.feed(bytes, seed, step)));
    }

    @Test
    void rejectsChunkSizesWhoseSumOverflowsOrExceedsLimit() {
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n";
        for (String size : List.of("7fffffff", "7FFFFFFF;x=y", "3e8", "80000000", "ffffffff")) {
            assertThrows(MalformedInputException.class, () -> parse(true, head + size + "\r\n"), size);
        }
    }

    /** Guards against heads that fill the heap: repeated headers count like others, in bytes and in number. */
    @Test
    void headOverItsLimitsIsRejected() throws MalformedInputException {
        String longHeader = "X-A: " + "x".repeat(4000) + "\r\n";
        String start = "GET / HTTP/1.1\r\n";
        assertEquals(1, parse(false, start + longHeader.repeat(8) + "\r\n").size(), "32 KB");
        assertEquals(
                1, parse(false, start + "Cookie: a\r\n".repeat(100) + "\r\n").size(), "100 headers");
        for (String headers : List.of(
                longHeader.repeat(9),
                "Cookie: a\r\n".repeat(101),
                "Content-Length: 0\r\n".repeat(101),
                "X-A: " + "x".repeat(9000) + "\r\n")) {
            HttpParser parser = new HttpParser(false, MAX_BODY_BYTES);
            byte[] input = (start + headers).getBytes(StandardCharsets.ISO_8859_1);
            assertThrows(
                    MalformedInputException.class,
                    () -> RandomFragments.feed(input, 5, collectInto(parser, new ArrayList<>())),
                    headers);
            assertTrue(parser.isHeadTooLarge(), headers);
        }
    }

    /** Guards against a limit on buffered input that doesn't see the headers of unfinished messages. */
    @Test
    void bufferedBytesCountTheHeadUntilTheMessageIsComplete() throws MalformedInputException {
        HttpParser parser = new HttpParser(false, MAX_BODY_BYTES);
        List<HttpMessage> parsed = new ArrayList<>();
        String head = "POST / HTTP/1.1\r\nX-A: " + "x".repeat(5000) + "\r\nContent-Length: 10\r\n";
        InputBuffer in = new InputBuffer(1 << 20);
        in.append(head.getBytes(StandardCharsets.US_ASCII), 0, head.length());
        collectInto(parser, parsed).parse(in);
        assertTrue(parser.bufferedBytes() >= head.length(), parser.bufferedBytes() + " bytes");
        String rest = "\r\n0123456789";
        in.append(rest.getBytes(StandardCharsets.US_ASCII), 0, rest.length());
        collectInto(parser, parsed).parse(in);
        assertEquals(1, parsed.size());
        assertTrue(parsed.get(0).headMemoryBytes() >= head.length());
        assertEquals(0, parser.bufferedBytes());
    }

    @Property(seed = "44", tries = 500)
    void garbageIsParsedOrRejectedWithMessage(
            @ForAll byte[] garbage, @ForAll long fragmentSeed, @ForAll boolean responses) {
        String start = responses ? "HTTP/1.1 200 OK\r\n" : "GET / HTTP/1.1\r\n";
        byte[] withStartLine =
                (start + new String(garbage, StandardCharsets.ISO_8859_1)).getBytes(StandardCharsets.ISO_8859_1);
        assertTrue(RandomFragments.acceptsOrRejects(
                fragmentSeed % 2 == 0 ? garbage : withStartLine,
                fragmentSeed,
                collectInto(new HttpParser(responses, 1000), new ArrayList<>())));
    }

    @Test
    void skipsInterimResponsesAndParsesResponsesWithoutBody() throws MalformedInputException {
        List<HttpMessage> parsed = parse(
                true,
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n\r\nok");
        assertEquals(List.of(204, 200), parsed.stream().map(HttpMessage::status).toList());
        assertEquals("a\nb", parsed.get(1).headers().get("set-cookie"));
    }

    @Test
    void rejectsAmbiguousOrMalformedHeaders() {
        for (String header : List.of(
                "Content-Length: 1\r\nContent-Length: 2",
                "Content-Length: 1\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip",
                "Content-Length: -1",
                "Content-Length: 5000",
                "A : b",
                " folded: x",
                "A: b\rC: d")) {
            assertThrows(
                    MalformedInputException.class,
                    () -> parse(false, "POST / HTTP/1.1\r\n" + header + "\r\n\r\n"),
                    header);
        }
    }
}
