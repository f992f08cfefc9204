package stonelb.testing;

import java.util.Random;
import stonelb.io.InputBuffer;
import stonelb.io.MalformedInputException;

/** Feeds a parser its input in fragments of random length, as a network does. */
public final class RandomFragments {

    /** Parses the input that has arrived. */
    public interface ParseStep {
        /** Parses the content of the buffer. */
        void parse(InputBuffer in) throws MalformedInputException;
    }

    /** Feeds the input in fragments whose lengths are drawn with {@code seed}, and runs the step after each. */
    public static void feed(byte[] input, long seed, ParseStep step) throws MalformedInputException {
        Random random = new Random(seed);
        InputBuffer in = new InputBuffer(1 << 20);
        for (int offset = 0; offset < input.length; ) {
            int length = Math.min(input.length - offset, 1 + random.nextInt(random.nextBoolean() ? 3 : 200));
            in.append(input, offset, length);
            offset += length;
            step.parse(in);
        }
    }

    /** Whether the input is accepted, or rejected with a message; any other exception is propagated. */
    public static boolean acceptsOrRejects(byte[] garbage, long seed, ParseStep step) {
        try {
            feed(garbage, seed, step);
        } catch (MalformedInputException e) {
            return !e.getMessage().isEmpty();
        }
        return true;
    }

    private RandomFragments() {}
}
