package stonelb.gateway.resp;

import java.util.ArrayList;
import java.util.List;
import stonelb.io.InputBuffer;
import stonelb.io.MalformedInputException;

/**
 * Incremental parser of RESP2 values. A bulk string is a {@code byte[]}, an array a {@code List}, an integer a
 * {@code Long}, a simple string a {@link SimpleString}, an error a {@link SimpleError}, and a null {@link #NULL}.
 */
public final class RespParser {
    /** The result of {@link #next} while the value is incomplete. */
    public static final Object INCOMPLETE = new Object();

    /** A null bulk string or a null array. */
    public static final Object NULL = new Object();

    private static final int MAX_BULK_BYTES = 64 * 1024;

    /** Limit on the memory of one value, including the objects and array slots that hold its elements. */
    private static final int MAX_VALUE_BYTES = 128 * 1024;

    /** Memory of an element besides its content: its objects, and the header of its array of bytes or elements. */
    private static final int ELEMENT_OVERHEAD_BYTES = 64;

    private static final int ARRAY_SLOT_BYTES = 8;
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_ARRAY_LENGTH = 64;
    private static final int MAX_DEPTH = 4;
    private static final int NO_BULK = -1;

    /** A simple string, without its type prefix. */
    public record SimpleString(String text) {}

    /** An error, without its type prefix. */
    public record SimpleError(String text) {}

    /** An array whose elements are not complete. */
    private static final class PartialArray {
        final List<Object> elements;
        final int length;

        PartialArray(int length) {
            this.length = length;
            elements = new ArrayList<>(length);
        }

        boolean isComplete() {
            return elements.size() == length;
        }
    }

    private final List<PartialArray> openArrays = new ArrayList<>(MAX_DEPTH); // innermost last
    private int bulkLength = NO_BULK; // of the bulk string whose bytes are expected
    private int valueBytes; // memory of the partial value, including a bulk string whose bytes are expected
    private int scannedBytes; // of the partial line, without a line feed

    /** Whether part of a value has been read. */
    public boolean isMidMessage() {
        return !openArrays.isEmpty() || bulkLength >= 0 || scannedBytes > 0;
    }

    /** Memory in bytes of the elements of the partial value that were consumed from the input. */
    public int bufferedBytes() {
        return bulkLength >= 0 ? valueBytes - bulkLength : valueBytes;
    }

    /**
     * Reads the next value from the input.
     *
     * @return the value, or {@link #INCOMPLETE} if the input does not hold all of it yet
     * @throws MalformedInputException if the input is not RESP2 or exceeds a limit; the parser must not be used again
     */
    public Object next(InputBuffer in) throws MalformedInputException {
        while (true) {
            Object value = bulkLength >= 0 ? readBulk(in) : readLine(in);
            if (value == INCOMPLETE) {
                return INCOMPLETE;
            }
            while (value != null) {
                if (openArrays.isEmpty()) {
                    valueBytes = 0;
                    return value;
                }
                value = addToArray(value);
            }
        }
    }

    /** Adds a value to the innermost array, and returns that array if it is now complete, else null. */
    private Object addToArray(Object value) {
        int innermost = openArrays.size() - 1;
        PartialArray array = openArrays.get(innermost);
        array.elements.add(value);
        if (!array.isComplete()) {
            return null;
        }
        openArrays.remove(innermost);
        return array.elements;
    }

    private Object readBulk(InputBuffer in) throws MalformedInputException {
        if (in.size() < bulkLength + 2) {
            return INCOMPLETE;
        }
        if (in.at(bulkLength) != '\r' || in.at(bulkLength + 1) != '\n') {
            throw new MalformedInputException("a bulk string does not end where its length says");
        }
        byte[] value = in.copy(0, bulkLength);
        in.skip(bulkLength + 2);
        bulkLength = NO_BULK;
        return value;
    }

    /**
     * Reads a line. Returns the value if the line completes one, null if the rest of the value follows, or {@link
     * #INCOMPLETE}.
     */
    private Object readLine(InputBuffer in) throws MalformedInputException {
        int lineFeed = in.lineEnd(scannedBytes);
        if (lineFeed < 0) {
            scannedBytes = in.size();
        }
        if ((lineFeed < 0 ? scannedBytes : lineFeed) > MAX_LINE_BYTES) {
            throw new MalformedInputException("a line is too long");
        }
        if (lineFeed < 0) {
            return INCOMPLETE;
        }
        if (lineFeed < 2 || in.at(lineFeed - 1) != '\r') {
            throw new MalformedInputException("a line is empty or has no carriage return");
        }
        char type = (char) in.at(0);
        String text = in.text(1, lineFeed - 2);
        in.skip(lineFeed + 1);
        scannedBytes = 0;
        reserve(ELEMENT_OVERHEAD_BYTES);
        return parseLine(type, text);
    }

    private Object parseLine(char type, String text) throws MalformedInputException {
        return switch (type) {
            case '+' -> {
                reserve(text.length() * Character.BYTES);
                yield new SimpleString(text);
            }
            case '-' -> {
                reserve(text.length() * Character.BYTES);
                yield new SimpleError(text);
            }
            case ':' -> parseNumber(text);
            case '$' -> beginBulk(parseNumber(text));
            case '*' -> beginArray(parseNumber(text));
            default -> throw new MalformedInputException("a value begins with an unknown type");
        };
    }

    /** Returns {@link #NULL}, or null if the bytes of the string follow. */
    private Object beginBulk(long length) throws MalformedInputException {
        if (length < -1 || length > MAX_BULK_BYTES) {
            throw new MalformedInputException("a bulk string's length is out of bounds");
        }
        if (length < 0) {
            return NULL;
        }
        reserve((int) length);
        bulkLength = (int) length;
        return null;
    }

    /** Returns an empty array or {@link #NULL}, or null if elements follow. */
    private Object beginArray(long length) throws MalformedInputException {
        if (length < -1 || length > MAX_ARRAY_LENGTH || openArrays.size() == MAX_DEPTH) {
            throw new MalformedInputException("an array is too long or too deep");
        }
        if (length < 0) {
            return NULL;
        }
        if (length == 0) {
            return List.of();
        }
        reserve((int) length * ARRAY_SLOT_BYTES);
        openArrays.add(new PartialArray((int) length));
        return null;
    }

    /** Counts memory towards the limit of the value being read, before the memory is allocated. */
    private void reserve(int bytes) throws MalformedInputException {
        valueBytes += bytes;
        if (valueBytes > MAX_VALUE_BYTES) {
            throw new MalformedInputException("a value is too large");
        }
    }

    private static long parseNumber(String text) throws MalformedInputException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new MalformedInputException("a number is not one");
        }
    }
}
