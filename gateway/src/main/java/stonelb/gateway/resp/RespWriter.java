package stonelb.gateway.resp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Writes RESP2 values. */
public final class RespWriter {

    /** Writes the header of an array; its elements are written next. */
    public static void array(ByteBuf out, int length) {
        header(out, '*', length);
    }

    /** Writes a bulk string. */
    public static void bulk(ByteBuf out, byte[] value) {
        header(out, '$', value.length);
        out.writeBytes(value);
        lineEnd(out);
    }

    /** Writes a bulk string with a decimal number in place of the bytes {@code start} (inclusive) to {@code end}. */
    public static void bulk(ByteBuf out, byte[] value, int start, int end, long number) {
        byte[] digits = Long.toString(number).getBytes(StandardCharsets.US_ASCII);
        header(out, '$', start + digits.length + value.length - end);
        out.writeBytes(value, 0, start);
        out.writeBytes(digits);
        out.writeBytes(value, end, value.length - end);
        lineEnd(out);
    }

    /** Writes a line including its type prefix, such as {@code +OK} or {@code -BUSY}. */
    public static void line(ByteBuf out, String line) {
        out.writeCharSequence(line, StandardCharsets.UTF_8);
        lineEnd(out);
    }

    private static void header(ByteBuf out, char type, int number) {
        out.writeByte(type);
        out.writeCharSequence(Integer.toString(number), StandardCharsets.US_ASCII);
        lineEnd(out);
    }

    private static void lineEnd(ByteBuf out) {
        out.writeByte('\r');
        out.writeByte('\n');
    }

    private RespWriter() {}
}
