package stonelb.description;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * review/8: a regular expression tried all ways to place three variables in a path of 8 KB, which stopped the event
 * loop. A template matches the same segments as that expression, and its work grows with the length of the segment.
 */
class SegmentTemplateTest {
    private static final Pattern VARIABLE = Pattern.compile("\\{[^{}]*}");

    /** Counts the characters that are read. */
    private static final class CountedSegment implements CharSequence {
        private final String text;
        private long reads;

        CountedSegment(String text) {
            this.text = text;
        }

        @Override
        public int length() {
            return text.length();
        }

        @Override
        public char charAt(int index) {
            reads++;
            return text.charAt(index);
        }

        @Override
        public CharSequence subSequence(int start, int end) {
            return text.subSequence(start, end);
        }
    }

    @Provide
    Arbitrary<String> templates() {
        return Arbitraries.of("a", "b", "-", "aa", "{x}", "{}", "{yy}", "{", "}")
                .list()
                .ofMaxSize(7)
                .map(parts -> String.join("", parts));
    }

    @Provide
    Arbitrary<String> segments() {
        return Arbitraries.strings().withChars('a', 'b', '-', '{', '}').ofMaxLength(10);
    }

    private static boolean matchesByBacktracking(String template, String segment) {
        String expression =
                VARIABLE.splitAsStream(template + "\0").map(Pattern::quote).collect(Collectors.joining("(?s:.+?)"));
        return segment.concat("\0").matches(expression);
    }

    @Property(seed = "46", tries = 20_000)
    void matchesTheSegmentsOfTheExpressionThatBacktracks(
            @ForAll("templates") String template, @ForAll("segments") String segment) {
        assertEquals(VARIABLE.matcher(template).find(), SegmentTemplate.hasVariable(template));
        assertEquals(
                VARIABLE.matcher(template).replaceAll("{}"),
                SegmentTemplate.parse(template).key());
        assertEquals(
                matchesByBacktracking(template, segment),
                SegmentTemplate.parse(template).matches(segment));
    }

    @Property(seed = "46", tries = 300)
    void readsAreBoundedByTheLengthOfTheSegment(
            @ForAll("templates") String template, @ForAll("segments") String repeated) {
        SegmentTemplate parsed = SegmentTemplate.parse(template);
        int longestLiteral = template.length() + 1;
        for (int length : List.of(2000, 4000, 8000)) {
            String filler = repeated.isEmpty() ? "-" : repeated;
            CountedSegment segment = new CountedSegment(filler.repeat(length / filler.length()));
            parsed.matches(segment);
            assertTrue(
                    segment.reads <= (long) longestLiteral * (length + 3),
                    () -> template + " read " + segment.reads + " characters of " + segment.length());
        }
    }
}
