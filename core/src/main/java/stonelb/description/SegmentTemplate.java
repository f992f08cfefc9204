package stonelb.description;

import java.util.ArrayList;
import java.util.List;

/**
 * A path segment with variables, such as {@code report-{year}-{month}.pdf}. Each variable matches one or more
 * characters.
 *
 * <p>Matching takes the first occurrence of each literal, without backtracking: if a segment matches in any way, it also
 * matches with each variable as short as possible. The work is at most the length of the segment times that of the
 * longest literal.
 */
final class SegmentTemplate {
    private static final String ANY_VARIABLE = "{}";

    /** The text before, between and after the variables, which may be empty. */
    private final List<String> literals = new ArrayList<>();

    private SegmentTemplate() {}

    /** Whether a segment has a variable. */
    static boolean hasVariable(String segment) {
        return variableEnd(segment, variableStart(segment, 0)) >= 0;
    }

    /** Parses a segment, which may have no variable. */
    static SegmentTemplate parse(String segment) {
        SegmentTemplate template = new SegmentTemplate();
        int literalStart = 0;
        int start = variableStart(segment, 0);
        int end = variableEnd(segment, start);
        while (end >= 0) {
            template.literals.add(segment.substring(literalStart, start));
            literalStart = end + 1;
            start = variableStart(segment, literalStart);
            end = variableEnd(segment, start);
        }
        template.literals.add(segment.substring(literalStart));
        return template;
    }

    /** The index of an opening brace that is closed before another one opens, or -1. */
    private static int variableStart(String segment, int from) {
        int closing = segment.indexOf('}', from);
        while (closing >= 0) {
            int opening = segment.lastIndexOf('{', closing);
            if (opening >= from) {
                return opening;
            }
            closing = segment.indexOf('}', closing + 1);
        }
        return -1;
    }

    private static int variableEnd(String segment, int start) {
        return start < 0 ? -1 : segment.indexOf('}', start);
    }

    /** The segment without the names of its variables: equal for templates that match the same segments. */
    String key() {
        return String.join(ANY_VARIABLE, literals);
    }

    /** The number of characters that are not variables. */
    int literalLength() {
        return literals.stream().mapToInt(String::length).sum();
    }

    /** Whether the template matches a whole segment. */
    boolean matches(CharSequence segment) {
        String last = literals.get(literals.size() - 1);
        int end = segment.length() - last.length();
        if (literals.size() == 1) {
            return end == 0 && isAt(segment, 0, last);
        }
        if (!isAt(segment, 0, literals.get(0)) || !isAt(segment, end, last)) {
            return false;
        }
        int position = literals.get(0).length();
        for (int i = 1; i < literals.size() - 1 && position >= 0; i++) {
            position = endOfFirst(literals.get(i), segment, position + 1, end);
        }
        return position >= 0 && position < end;
    }

    /** The index after the first occurrence of a literal between two indexes, or -1. */
    private static int endOfFirst(String literal, CharSequence segment, int from, int to) {
        for (int i = from; i + literal.length() <= to; i++) {
            if (isAt(segment, i, literal)) {
                return i + literal.length();
            }
        }
        return -1;
    }

    private static boolean isAt(CharSequence segment, int index, String literal) {
        if (index < 0 || index + literal.length() > segment.length()) {
            return false;
        }
        for (int i = 0; i < literal.length(); i++) {
            if (segment.charAt(index + i) != literal.charAt(i)) {
                return false;
            }
        }
        return true;
    }
}
