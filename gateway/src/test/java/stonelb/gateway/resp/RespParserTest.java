package stonelb.gateway.resp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import stonelb.io.InputBuffer;
import stonelb.io.MalformedInputException;
import stonelb.testing.RandomFragments;

/**
 * Parsing of values that arrive in fragments of random length, and rejection of malformed input and of values beyond
 * the limits.
 */
class RespParserTest {

    private static RandomFragments.ParseStep parseInto(RespParser parser, List<Object> values) {
        return in -> {
            for (Object value = parser.next(in); value != RespParser.INCOMPLETE; value = parser.next(in)) {
                values.add(value);
            }
        };
    }

    @Property(seed = "41", tries = 300)
    void commandsAreParsedFromAnyFragments(
            @ForAll @Size(min = 1, max = 5) List<@Size(min = 1, max = 6) List<byte[]>> commands, @ForAll long seed)
            throws MalformedInputException {
        ByteBuf out = Unpooled.buffer();
        for (List<byte[]> arguments : commands) {
            RespWriter.array(out, arguments.size());
            arguments.forEach(argument -> RespWriter.bulk(out, argument));
        }
        List<Object> values = new ArrayList<>();
        RespParser parser = new RespParser();
        RandomFragments.feed(ByteBufUtil.getBytes(out), seed, parseInto(parser, values));
        assertFalse(parser.isMidMessage());
        assertEquals(commands.size(), values.size());
        for (int i = 0; i < commands.size(); i++) {
            assertArrayEquals(commands.get(i).toArray(), ((List<?>) values.get(i)).toArray());
        }
    }

    @Property(seed = "42", tries = 500)
    void malformedInputIsRejectedWithAMessage(
            @ForAll byte[] input, @ForAll long seed, @ForAll boolean protocolCharacters) {
        String characters = "*$+-:0123456789\r\n";
        for (int i = 0; protocolCharacters && i < input.length; i++) {
            input[i] = (byte) characters.charAt(Math.floorMod(input[i], characters.length()));
        }
        assertTrue(RandomFragments.acceptsOrRejects(input, seed, parseInto(new RespParser(), new ArrayList<>())));
    }

    @Test
    void parsesNullsNestingAndLines() throws MalformedInputException {
        List<Object> values = new ArrayList<>();
        RandomFragments.feed(
                "*3\r\n$1\r\na\r\n$-1\r\n*1\r\n:7\r\n-BUSY 5\r\n*0\r\n".getBytes(StandardCharsets.US_ASCII),
                1,
                parseInto(new RespParser(), values));
        List<?> first = (List<?>) values.get(0);
        assertEquals(RespParser.NULL, first.get(1));
        assertEquals(List.of(7L), first.get(2));
        assertEquals(new RespParser.SimpleError("BUSY 5"), values.get(1));
        assertEquals(List.of(), values.get(2));
    }

    @Test
    void enforcesLimits() {
        for (String invalid : List.of(
                "$65537\r\n",
                "*65\r\n",
                "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n",
                "$-2\r\n",
                "+" + "x".repeat(5000),
                "hello\r\n",
                "\r\n",
                "$1\r\nabc",
                ":x\r\n",
                "*3\r\n" + ("$65000\r\n" + "x".repeat(65000) + "\r\n").repeat(3))) {
            assertRejected(invalid, invalid);
        }
    }

    private static void assertRejected(String invalid, String description) {
        InputBuffer in = new InputBuffer(1 << 20);
        assertThrows(
                MalformedInputException.class,
                () -> {
                    in.append(invalid.getBytes(StandardCharsets.US_ASCII), 0, invalid.length());
                    new RespParser().next(in);
                },
                description);
    }

    /** Guards against a value of small elements that fills the heap: each element counts, not only bulk strings. */
    @Test
    void valueOverTheMemoryLimitIsRejectedWhateverItsElements() {
        int limit = 128 * 1024;
        for (String element : List.of(
                "+" + "x".repeat(4000) + "\r\n", "-E\r\n", ":1\r\n", "$-1\r\n", "$0\r\n\r\n", "*0\r\n", "*-1\r\n")) {
            String array = "*64\r\n" + element.repeat(64);
            String nested = "*64\r\n" + ("*64\r\n" + array.repeat(64)).repeat(64);
            assertRejected(nested.substring(0, limit), "arrays of " + element);
        }
    }

    /** What a partial value holds is charged to its connection when it is read, not when its length is announced. */
    @Test
    void bufferedBytesCountTheElementsThatWereRead() throws MalformedInputException {
        RespParser parser = new RespParser();
        InputBuffer in = new InputBuffer(1 << 20);
        String announced = "*3\r\n+" + "x".repeat(1000) + "\r\n$60000\r\n";
        in.append(announced.getBytes(StandardCharsets.US_ASCII), 0, announced.length());
        assertEquals(RespParser.INCOMPLETE, parser.next(in));
        int bufferedBeforeBulk = parser.bufferedBytes();
        assertTrue(bufferedBeforeBulk >= 1000 && bufferedBeforeBulk < 10_000, bufferedBeforeBulk + " bytes");
        String bulk = "x".repeat(60_000) + "\r\n";
        in.append(bulk.getBytes(StandardCharsets.US_ASCII), 0, bulk.length());
        assertEquals(RespParser.INCOMPLETE, parser.next(in));
        assertEquals(bufferedBeforeBulk + 60_000, parser.bufferedBytes());
        String last = ":1\r\n";
        in.append(last.getBytes(StandardCharsets.US_ASCII), 0, last.length());
        assertNotEquals(RespParser.INCOMPLETE, parser.next(in));
        assertEquals(0, parser.bufferedBytes());
    }
}
