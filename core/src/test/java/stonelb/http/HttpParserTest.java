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
import stonelb.testing.RandomCuts;

/** Messages in random cuts, garbage, and limits. */
class HttpParserTest {
    private static final int MAX_BODY_BYTES = 1000;

    /** How a response states where its body ends. */
    private enum BodyFraming {
        CONTENT_LENGTH,
        CHUNKED,
        UNTIL_CLOSE
    }

    /** What a parser made of a connection's input; {@code rejection} is null where nothing was malformed. */
    private record Outcome(List<String> messages, boolean incomplete, String rejection) {}

    private static RandomCuts.Step into(HttpParser parser, List<HttpMessage> found) {
        return in -> {
            for (HttpMessage m = parser.next(in); m != null; m = parser.next(in)) {
                found.add(m);
            }
        };
    }

    private static List<HttpMessage> read(boolean responses, String text) throws MalformedInputException {
        List<HttpMessage> found = new ArrayList<>();
        RandomCuts.feed(text.getBytes(StandardCharsets.ISO_8859_1), 5, into(new HttpParser(responses, 1000), found));
        return found;
    }

    @Property(seed = "43", tries = 300)
    void bodiesAreCompleteForAnyCuts(
            @ForAll @Size(min = 1, max = 4) List<byte[]> bodies, @ForAll boolean chunked, @ForAll long cuts)
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
        List<HttpMessage> found = new ArrayList<>();
        RandomCuts.feed(out.toByteArray(), cuts, into(new HttpParser(false, 1 << 16), found));
        assertEquals(bodies.size(), found.size());
        for (int i = 0; i < bodies.size(); i++) {
            assertArrayEquals(bodies.get(i), found.get(i).body());
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

    /** Responses on one connection, after an interim one: by length and in chunks in turn, but for the last. */
    private static byte[] connectionInput(List<byte[]> bodies, BodyFraming last, int chunkBytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, "HTTP/1.1 100 Continue\r\n\r\n");
        for (int i = 0; i < bodies.size(); i++) {
            BodyFraming inTurn = i % 2 == 0 ? BodyFraming.CHUNKED : BodyFraming.CONTENT_LENGTH;
            BodyFraming framing = i == bodies.size() - 1 ? last : inTurn;
            out.writeBytes(response(bodies.get(i), framing, chunkBytes));
        }
        return out.toByteArray();
    }

    @Property(seed = "45", tries = 400)
    void responsesAreCompleteForAnyCuts(
            @ForAll @Size(min = 1, max = 4) List<byte[]> bodies,
            @ForAll BodyFraming last,
            @ForAll @IntRange(min = 1, max = 40) int chunkBytes,
            @ForAll long cuts)
            throws MalformedInputException {
        HttpParser parser = new HttpParser(true, MAX_BODY_BYTES);
        List<HttpMessage> found = new ArrayList<>();
        RandomCuts.feed(connectionInput(bodies, last, chunkBytes), cuts, into(parser, found));
        if (last == BodyFraming.UNTIL_CLOSE) {
            assertEquals(bodies.size() - 1, found.size(), "the last body ends with the connection only");
            found.add(parser.end());
        }
        assertFalse(parser.isMidMessage());
        assertEquals(bodies.size(), found.size());
        for (int i = 0; i < bodies.size(); i++) {
            assertArrayEquals(bodies.get(i), found.get(i).body());
        }
    }

    /** Feeds the input in pieces of one byte, or of random lengths, or whole, and closes the connection. */
    private static Outcome outcome(byte[] input, Feeder feeder) {
        HttpParser parser = new HttpParser(true, MAX_BODY_BYTES);
        List<HttpMessage> found = new ArrayList<>();
        String rejection = null;
        try {
            feeder.feed(input, into(parser, found));
            HttpMessage last = parser.end();
            if (last != null) {
                found.add(last);
            }
        } catch (MalformedInputException e) {
            rejection = e.getMessage();
        }
        List<String> messages = found.stream()
                .map(message -> message.status() + " " + message.headers() + " " + Arrays.toString(message.body()))
                .toList();
        return new Outcome(messages, rejection == null && parser.isMidMessage(), rejection);
    }

    /** Passes input to a parser in pieces. */
    private interface Feeder {
        void feed(byte[] input, RandomCuts.Step step) throws MalformedInputException;
    }

    private static void feedWhole(byte[] input, RandomCuts.Step step) throws MalformedInputException {
        feedInPiecesOf(input.length, input, step);
    }

    private static void feedInPiecesOf(int bytes, byte[] input, RandomCuts.Step step) throws MalformedInputException {
        InputBuffer in = new InputBuffer(input.length);
        for (int start = 0; start < input.length; start += bytes) {
            in.append(input, start, Math.min(bytes, input.length - start));
            step.read(in);
        }
    }

    @Property(seed = "46", tries = 1000)
    void cutsNeverChangeWhatIsReadOrRejected(
            @ForAll @Size(min = 1, max = 3) List<byte[]> bodies,
            @ForAll BodyFraming last,
            @ForAll @IntRange(min = 1, max = 40) int chunkBytes,
            @ForAll boolean corrupted,
            @ForAll long seed) {
        byte[] input = connectionInput(bodies, last, chunkBytes);
        if (corrupted) {
            Random random = new Random(seed);
            input[random.nextInt(input.length)] = (byte) "\r\n:; 09fF\u0000".charAt(random.nextInt(10));
        }
        Outcome whole = outcome(input, HttpParserTest::feedWhole);
        assertEquals(whole, outcome(input, (bytes, step) -> feedInPiecesOf(1, bytes, step)));
        assertEquals(whole, outcome(input, (bytes, step) -> RandomCuts.feed(bytes, seed, step)));
    }

    @Test
    void chunksWhoseSizesOverflowTogetherAreTooLarge() {
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n";
        for (String size : List.of("7fffffff", "7FFFFFFF;x=y", "3e8", "80000000", "ffffffff")) {
            assertThrows(MalformedInputException.class, () -> read(true, head + size + "\r\n"), size);
        }
    }

    @Property(seed = "44", tries = 500)
    void garbageIsRejectedWithAMessage(@ForAll byte[] garbage, @ForAll long cuts, @ForAll boolean responses) {
        String start = responses ? "HTTP/1.1 200 OK\r\n" : "GET / HTTP/1.1\r\n";
        byte[] all = (start + new String(garbage, StandardCharsets.ISO_8859_1)).getBytes(StandardCharsets.ISO_8859_1);
        assertTrue(RandomCuts.survives(
                cuts % 2 == 0 ? garbage : all, cuts, into(new HttpParser(responses, 1000), new ArrayList<>())));
    }

    @Test
    void interimResponsesAndThoseWithoutABody() throws MalformedInputException {
        List<HttpMessage> found = read(
                true,
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n\r\nok");
        assertEquals(List.of(204, 200), found.stream().map(HttpMessage::status).toList());
        assertEquals("a\nb", found.get(1).headers().get("set-cookie"));
    }

    @Test
    void ambiguousMessagesAreMalformed() {
        for (String bad : List.of(
                "Content-Length: 1\r\nContent-Length: 2",
                "Content-Length: 1\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip",
                "Content-Length: -1",
                "Content-Length: 5000",
                "A : b",
                " folded: x",
                "A: b\rC: d")) {
            assertThrows(
                    MalformedInputException.class, () -> read(false, "POST / HTTP/1.1\r\n" + bad + "\r\n\r\n"), bad);
        }
    }
}
