package stonelb.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/**
 * Reads members of JSON objects, with a default for those that are absent or null. A member of another type makes Gson
 * throw an {@link IllegalStateException}, {@link UnsupportedOperationException}, {@link ClassCastException} or {@link
 * NumberFormatException}.
 */
public final class JsonValues {
    private JsonValues() {}

    /** The member as an object, or an empty object. */
    public static JsonObject object(JsonObject parent, String key) {
        JsonElement value = parent.get(key);
        return isAbsent(value) ? new JsonObject() : value.getAsJsonObject();
    }

    /** The member as an array, or an empty array. */
    public static JsonArray array(JsonObject parent, String key) {
        JsonElement value = parent.get(key);
        return isAbsent(value) ? new JsonArray() : value.getAsJsonArray();
    }

    /** The member as a number, or the default. */
    public static double number(JsonObject parent, String key, double defaultValue) {
        JsonElement value = parent.get(key);
        return isAbsent(value) ? defaultValue : value.getAsDouble();
    }

    /** The member as text, or null. */
    public static String text(JsonObject parent, String key) {
        JsonElement value = parent.get(key);
        return isAbsent(value) ? null : value.getAsString();
    }

    private static boolean isAbsent(JsonElement value) {
        return value == null || value.isJsonNull();
    }
}
