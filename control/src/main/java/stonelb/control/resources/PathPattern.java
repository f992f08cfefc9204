package stonelb.control.resources;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Path templates of the API description as regular expressions (RE2), and the order in which they are matched. */
final class PathPattern {
    private static final Pattern VARIABLE = Pattern.compile("\\{[^{}]*}");
    private static final String ANY_SEGMENT = "[^/]+";
    private static final String CONCRETE_PREFIX = "!";
    private static final String SORTS_LAST = "~";

    private PathPattern() {}

    static boolean isTemplate(String path) {
        return path.contains("{");
    }

    /**
     * A sort key that puts concrete segments before templates, from the left (OpenAPI 3.1, Path Templating Matching).
     */
    static String precedenceKey(String path) {
        StringBuilder key = new StringBuilder();
        for (String segment : path.split("/", -1)) {
            key.append(isTemplate(segment) ? SORTS_LAST : CONCRETE_PREFIX + segment)
                    .append('/');
        }
        return key.toString();
    }

    /** The regular expression of a template, in which each variable matches one or more characters of a segment. */
    static String regex(String path) {
        StringBuilder regex = new StringBuilder();
        int end = 0;
        Matcher variables = VARIABLE.matcher(path);
        while (variables.find()) {
            regex.append(escape(path.substring(end, variables.start()))).append(ANY_SEGMENT);
            end = variables.end();
        }
        return regex.append(escape(path.substring(end))).toString();
    }

    /** Escapes each special character by itself: proxies may not support quoting by {@code \Q} and {@code \E}. */
    static String escape(String literal) {
        return literal.replaceAll("[^A-Za-z0-9/_-]", "\\\\$0");
    }
}
