package stonelb.io;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The unconsumed input of a connection. The buffer grows up to a limit, is compacted in place, and holds no memory once all
 * input is consumed. Indexes are relative to the first unconsumed byte.
 */
public final class InputBuffer {
    private static final int MIN_BYTES = 1024;
    private static final byte[] EMPTY = new byte[0];

    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int readIndex;
    private int writeIndex;

    /** Creates a buffer of at most {@code maxBytes}. */
    public InputBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The number of unconsumed bytes. */
    public int size() {
        return writeIndex - readIndex;
    }

    /** The allocated size of the buffer in bytes. */
    public int capacity() {
        return bytes.length;
    }

    /** The byte at an index below {@link #size}. */
    public byte at(int index) {
        return bytes[readIndex + index];
    }

    /**
     * Appends all readable bytes of {@code input}.
     *
     * @throws MalformedInputException if the unconsumed input would exceed the limit
     */
    public void append(ByteBuf input) throws MalformedInputException {
        int length = input.readableBytes();
        ensureCapacity(length);
        input.readBytes(bytes, writeIndex, length);
        writeIndex += length;
    }

    /**
     * Appends a part of an array.
     *
     * @throws MalformedInputException if the unconsumed input would exceed the limit
     */
    public void append(byte[] input, int offset, int length) throws MalformedInputException {
        ensureCapacity(length);
        System.arraycopy(input, offset, bytes, writeIndex, length);
        writeIndex += length;
    }

    private void ensureCapacity(int length) throws MalformedInputException {
        int needed = size() + length;
        if (needed > maxBytes) {
            throw new MalformedInputException("more than " + maxBytes + " bytes are waiting");
        }
        if (writeIndex + length > bytes.length) {
            byte[] target = needed <= bytes.length ? bytes : new byte[grownCapacity(needed)];
            System.arraycopy(bytes, readIndex, target, 0, size());
            writeIndex = size();
            readIndex = 0;
            bytes = target;
        }
    }

    private int grownCapacity(int needed) {
        int preferred = Math.max(MIN_BYTES, 2 * bytes.length);
        return Math.max(needed, Math.min(maxBytes, preferred));
    }

    /** The index of the first line feed from {@code start} on, or -1. */
    public int lineEnd(int start) {
        for (int i = readIndex + start; i < writeIndex; i++) {
            if (bytes[i] == '\n') {
                return i - readIndex;
            }
        }
        return -1;
    }

    /** A copy of {@code length} bytes from {@code start} on. */
    public byte[] copy(int start, int length) {
        return Arrays.copyOfRange(bytes, readIndex + start, readIndex + start + length);
    }

    /** The text of {@code length} bytes from {@code start} on, in UTF-8. */
    public String text(int start, int length) {
        return new String(bytes, readIndex + start, length, StandardCharsets.UTF_8);
    }

    /** Consumes the first {@code count} bytes. */
    public void skip(int count) {
        readIndex += count;
        if (readIndex == writeIndex) {
            readIndex = 0;
            writeIndex = 0;
            bytes = EMPTY;
        }
    }
}
