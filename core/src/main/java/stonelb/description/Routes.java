package stonelb.description;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The routes of one description, as a tree of path segments. Not modified once it is built: a reload creates a new object.
 */
public final class Routes {
    /** The operations of the path that a request matches, by method. */
    public record Match(Map<String, Route> operations) {

        /** The operation for a method, or null. */
        public Route route(String method) {
            return operations.get(method);
        }

        /** The value of the Allow header: all methods of the path. */
        public String allowHeader() {
            return String.join(", ", operations.keySet());
        }
    }

    /** An operation with its method and its path template, including the server prefix. */
    public record Entry(String path, String method, Route route) {}

    private record TemplateNode(SegmentTemplate template, Node node) {}

    private static final class Node {
        private final Map<String, Node> literals = new HashMap<>();

        /** In the order in which they are tried: the longest literal part first. */
        private final List<TemplateNode> templates = new ArrayList<>();

        private Map<String, Route> operations;
    }

    private final Node root = new Node();
    private final List<Entry> entries = new ArrayList<>();

    /** The number of operations. */
    public int size() {
        return entries.size();
    }

    /** All operations, in the order of the description. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    /** Adds the operations of a path; false if the same path, apart from names of variables, was already added. */
    boolean add(String path, Map<String, Route> operations) {
        Node node = root;
        for (String segment : PathSegments.split(path)) {
            node = SegmentTemplate.hasVariable(segment)
                    ? templateNode(node, SegmentTemplate.parse(segment))
                    : node.literals.computeIfAbsent(PathSegments.decodeOrKeep(segment), unused -> new Node());
        }
        if (node.operations != null) {
            return false;
        }
        node.operations = new TreeMap<>(operations);
        operations.forEach((method, route) -> entries.add(new Entry(path, method, route)));
        return true;
    }

    private static Node templateNode(Node parent, SegmentTemplate template) {
        for (TemplateNode existing : parent.templates) {
            if (existing.template.key().equals(template.key())) {
                return existing.node;
            }
        }
        TemplateNode added = new TemplateNode(template, new Node());
        parent.templates.add(added);
        parent.templates.sort(Comparator.comparingInt((TemplateNode child) -> child.template.literalLength())
                .reversed());
        return added.node;
    }

    /**
     * Finds the operations of a request path; null if there are none. Literal segments take precedence over templates.
     *
     * @throws MalformedPathException if the path has dot segments or malformed escapes: a server that normalizes them
     *     would run a different operation from the one whose cost is charged here
     */
    public Match match(String path) throws MalformedPathException {
        if (!path.startsWith("/")) {
            throw new MalformedPathException("the path does not begin with a slash");
        }
        List<String> segments = new ArrayList<>();
        for (String segment : PathSegments.split(path)) {
            String decoded = PathSegments.decode(segment);
            if (decoded == null || decoded.equals(".") || decoded.equals("..")) {
                throw new MalformedPathException("the path has dot segments or broken escapes");
            }
            segments.add(decoded);
        }
        Map<String, Route> operations = find(root, segments, 0);
        return operations == null ? null : new Match(operations);
    }

    private static Map<String, Route> find(Node node, List<String> segments, int depth) {
        if (depth == segments.size()) {
            return node.operations;
        }
        String segment = segments.get(depth);
        Node literal = node.literals.get(segment);
        Map<String, Route> found = literal == null ? null : find(literal, segments, depth + 1);
        for (int i = 0; found == null && i < node.templates.size(); i++) {
            TemplateNode child = node.templates.get(i);
            if (child.template.matches(segment)) {
                found = find(child.node, segments, depth + 1);
            }
        }
        return found;
    }
}
