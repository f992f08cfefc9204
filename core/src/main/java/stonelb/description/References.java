package stonelb.description;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/** Resolves the local references ({@code $ref}) of a description. */
final class References {
    private static final String REFERENCE = "$ref";
    private static final int MAX_REFERENCE_DEPTH = 32;

    private final JsonObject root;

    References(JsonObject root) {
        this.root = root;
    }

    /**
     * Resolves the references of an object; returns the object itself if it has none. The sibling members of a reference
     * override those of its target.
     *
     * @throws InvalidDescriptionException if a reference is not local, is circular, has malformed percent-encoding or has
     *     no target
     */
    JsonObject resolve(JsonObject object) throws InvalidDescriptionException {
        JsonObject target = object;
        Deque<JsonObject> referring = new ArrayDeque<>();
        while (target.has(REFERENCE)) {
            String reference = target.get(REFERENCE).getAsString();
            if (!reference.startsWith("#/") || referring.size() == MAX_REFERENCE_DEPTH) {
                throw new InvalidDescriptionException("the reference " + reference + " is not local, or is circular");
            }
            referring.addFirst(target);
            target = target(reference);
        }
        if (referring.isEmpty()) {
            return target;
        }
        JsonObject merged = new JsonObject();
        target.entrySet().forEach(member -> merged.add(member.getKey(), member.getValue()));
        for (JsonObject overriding : referring) {
            addSiblingMembers(overriding, merged);
        }
        return merged;
    }

    private static void addSiblingMembers(JsonObject overriding, JsonObject merged) {
        for (Map.Entry<String, JsonElement> member : overriding.entrySet()) {
            if (!member.getKey().equals(REFERENCE)) {
                merged.add(member.getKey(), member.getValue());
            }
        }
    }

    /** The object that a JSON pointer in URI fragment form (RFC 6901) refers to. */
    private JsonObject target(String reference) throws InvalidDescriptionException {
        JsonElement target = root;
        for (String token : reference.substring(2).split("/", -1)) {
            String name = memberName(token);
            if (name == null) {
                throw new InvalidDescriptionException("the reference " + reference + " has a broken escape");
            }
            target = target != null && target.isJsonObject()
                    ? target.getAsJsonObject().get(name)
                    : null;
        }
        if (target == null || !target.isJsonObject()) {
            throw new InvalidDescriptionException("the reference " + reference + " has no target");
        }
        return target.getAsJsonObject();
    }

    /** The member that a token of a JSON pointer names; null if its percent-encoding is malformed. */
    private static String memberName(String token) {
        String decoded = PathSegments.decode(token);
        return decoded == null ? null : decoded.replace("~1", "/").replace("~0", "~");
    }
}
