package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The hash of counter names, which has to be the same in all gateways. */
class HashMixerTest {
    @Test
    void matchesTheFinalizerOfMurmurHash3() {
        assertEquals(0, HashMixer.mix(0));
        assertEquals(0xb456bcfc34c2cb2cL, HashMixer.mix(1));
    }

    @Test
    void spreadsConsecutiveNumbersOverTheLowBits() {
        long distinct = LongStream.range(0, 1000)
                .map(number -> Math.floorMod(HashMixer.mix(number), 1L << 20))
                .distinct()
                .count();
        assertTrue(distinct > 995, distinct + " of 1000 differ");
    }
}
