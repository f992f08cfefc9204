package stonelb.gateway.platform;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import stonelb.io.MalformedInputException;

/**
 * The field list of a command, such as {@code c=read,t=open,d=900,units=1,spread=1,first=0}. Fields with unknown names
 * are ignored. Whether values are in range is checked by {@link PlatformRequestParser}.
 */
final class RequestFields {
    private static final int MAX_NUMBER_LENGTH = 19; // characters
    private static final double MISSING = -1;

    private final byte[] text;
    private Integer requestClass;
    private Integer plan;
    private double timeoutMs = MISSING;
    private int timeoutStart;
    private int timeoutEnd;
    private double units = MISSING;
    private double spread = MISSING;
    private double first = MISSING;
    private boolean retry;

    private RequestFields(byte[] text) {
        this.text = text;
    }

    /**
     * Parses a field list.
     *
     * @param classes the indexes of the request classes by name
     * @param plans the indexes of the plans by name
     * @throws MalformedInputException if a value is malformed or given twice, or names an unknown class or plan
     */
    static RequestFields parse(byte[] text, Map<String, Integer> classes, Map<String, Integer> plans)
            throws MalformedInputException {
        RequestFields fields = new RequestFields(text);
        int nameStart = 0;
        while (nameStart <= text.length) {
            int valueEnd = fields.indexOf(',', nameStart, text.length);
            int nameEnd = fields.indexOf('=', nameStart, valueEnd);
            int valueStart = Math.min(nameEnd + 1, valueEnd);
            String name = new String(text, nameStart, nameEnd - nameStart, StandardCharsets.ISO_8859_1);
            fields.parseField(name, valueStart, valueEnd, classes, plans);
            nameStart = valueEnd + 1;
        }
        return fields;
    }

    private void parseField(String name, int start, int end, Map<String, Integer> classes, Map<String, Integer> plans)
            throws MalformedInputException {
        switch (name) {
            case "c" -> requestClass = parseName(classes, requestClass, start, end, "class");
            case "t" -> plan = parseName(plans, plan, start, end, "plan");
            case "d" -> {
                timeoutMs = parseNumber(timeoutMs, start, end);
                timeoutStart = start;
                timeoutEnd = end;
            }
            case "units" -> units = parseNumber(units, start, end);
            case "spread" -> spread = parseNumber(spread, start, end);
            case "first" -> first = parseNumber(first, start, end);
            case "r" -> retry = end == start + 1 && text[start] == '1';
            default -> {}
        }
    }

    /** The index of a character from {@code start} on, or {@code end} if it does not occur before. */
    private int indexOf(char character, int start, int end) {
        int index = start;
        while (index < end && text[index] != character) {
            index++;
        }
        return index;
    }

    private Integer parseName(Map<String, Integer> names, Integer previous, int start, int end, String kind)
            throws MalformedInputException {
        Integer index = names.get(new String(text, start, end - start, StandardCharsets.UTF_8));
        if (index == null) {
            throw new MalformedInputException("the " + kind + " is not known");
        }
        if (previous != null) {
            throw new MalformedInputException("the " + kind + " is there twice");
        }
        return index;
    }

    /** Parses a decimal number without sign or exponent. */
    private double parseNumber(double previous, int start, int end) throws MalformedInputException {
        if (previous >= 0 || !isDecimal(start, end)) {
            throw new MalformedInputException("a number is not one, or is there twice");
        }
        return Double.parseDouble(new String(text, start, end - start, StandardCharsets.ISO_8859_1));
    }

    private boolean isDecimal(int start, int end) {
        if (end <= start || end - start > MAX_NUMBER_LENGTH || text[start] == '.' || text[end - 1] == '.') {
            return false;
        }
        int decimalPoints = 0;
        for (int i = start; i < end; i++) {
            if (text[i] == '.') {
                decimalPoints++;
            } else if (text[i] < '0' || text[i] > '9') {
                return false;
            }
        }
        return decimalPoints <= 1;
    }

    /** The index of the request class, or null if it is missing. */
    Integer requestClass() {
        return requestClass;
    }

    /** The index of the plan, or null if it is missing. */
    Integer plan() {
        return plan;
    }

    /** How long the client waits, in milliseconds, or a negative value if it is missing. */
    double timeoutMs() {
        return timeoutMs;
    }

    /** The position of the timeout's first digit in the field list. */
    int timeoutStart() {
        return timeoutStart;
    }

    /** The position after the timeout's last digit. */
    int timeoutEnd() {
        return timeoutEnd;
    }

    /** The units of quota, or a negative value if they are missing. */
    double units() {
        return units;
    }

    /** The number of gateways over which the customer's requests are spread, or a negative value if it is missing. */
    double spread() {
        return spread;
    }

    /** The index of the first of these gateways, or a negative value if it is missing. */
    double first() {
        return first;
    }

    /** Whether the client has sent the request before. */
    boolean isRetry() {
        return retry;
    }
}
