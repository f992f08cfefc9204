package stonelb.control;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import java.util.Set;
import stonelb.config.InvalidConfigurationException;

/** Reads typed values from one JSON object of a settings file; error messages name the file and the key. */
final class SettingsReader {
    private final String file;
    private final JsonObject object;

    SettingsReader(String file, JsonObject object) {
        this.file = file;
        this.object = object;
    }

    boolean has(String key) {
        return object.has(key);
    }

    /** Creates an exception whose message names the file. */
    InvalidConfigurationException invalid(String reason) {
        return new InvalidConfigurationException(file + ": " + reason);
    }

    /** Throws if the object has an unknown key; the prefix qualifies nested keys in the message. */
    void rejectUnknownKeys(String prefix, Set<String> knownKeys) throws InvalidConfigurationException {
        for (String key : object.keySet()) {
            if (!knownKeys.contains(key)) {
                throw invalid("unknown key '" + prefix + key + "'");
            }
        }
    }

    /** A nested object. */
    SettingsReader object(String key) throws InvalidConfigurationException {
        if (!object.get(key).isJsonObject()) {
            throw invalid("'" + key + "' is not an object");
        }
        return new SettingsReader(file, object.getAsJsonObject(key));
    }

    boolean bool(String key, boolean defaultValue) throws InvalidConfigurationException {
        JsonElement element = object.get(key);
        if (element == null) {
            return defaultValue;
        }
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isBoolean()) {
            throw invalid("'" + key + "' is not true or false");
        }
        return element.getAsBoolean();
    }

    /** A required string, not blank. */
    String string(String key) throws InvalidConfigurationException {
        JsonElement element = object.get(key);
        if (element == null) {
            throw invalid("'" + key + "' is missing");
        }
        return string(key, element);
    }

    /** A string, not blank, or null if the key is missing. */
    String optionalString(String key) throws InvalidConfigurationException {
        JsonElement element = object.get(key);
        return element == null ? null : string(key, element);
    }

    private String string(String key, JsonElement element) throws InvalidConfigurationException {
        if (!element.isJsonPrimitive()
                || !element.getAsJsonPrimitive().isString()
                || element.getAsString().isBlank()) {
            throw invalid("'" + key + "' is not a non-blank string");
        }
        return element.getAsString();
    }

    Path path(String key) throws InvalidConfigurationException {
        try {
            return Path.of(string(key));
        } catch (IllegalArgumentException e) {
            throw invalid("'" + key + "' is not a path");
        }
    }

    /** A number between a minimum and a maximum, both inclusive. */
    double number(String key, double defaultValue, double minimum, double maximum)
            throws InvalidConfigurationException {
        JsonElement element = object.get(key);
        if (element == null) {
            return defaultValue;
        }
        boolean isNumber =
                element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber();
        if (!isNumber || !(element.getAsDouble() >= minimum) || element.getAsDouble() > maximum) {
            throw invalid("'" + key + "' is not a number from " + (long) minimum + " to " + (long) maximum);
        }
        return element.getAsDouble();
    }
}
