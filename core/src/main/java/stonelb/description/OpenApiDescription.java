package stonelb.description;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import stonelb.config.JsonValues;
import stonelb.decision.DecisionSettings;

/** Reads an OpenAPI 3.0 or 3.1 description into {@link Routes}. */
public final class OpenApiDescription {
    private static final Set<String> METHODS =
            Set.of("get", "put", "post", "delete", "options", "head", "patch", "trace");

    private final JsonObject root;
    private final References references;
    private final ServerPrefixes serverPrefixes;
    private final OperationReader operationReader;

    private OpenApiDescription(
            JsonObject root, List<String> classes, DecisionSettings settings, Consumer<String> warnings) {
        this.root = root;
        references = new References(root);
        serverPrefixes = new ServerPrefixes(root);
        operationReader = new OperationReader(root, references, classes, settings, warnings);
    }

    /**
     * Reads the routes of a description in JSON or YAML.
     *
     * @param text of the description, in UTF-8
     * @param classes names of the request classes, in the order of the settings
     * @param warnings receives messages for the operator about content that is valid but probably unintended
     * @throws InvalidDescriptionException if the text is not a valid description, or does not fit the settings
     */
    public static Routes read(byte[] text, List<String> classes, DecisionSettings settings, Consumer<String> warnings)
            throws InvalidDescriptionException {
        try {
            JsonObject root = parse(new String(text, StandardCharsets.UTF_8));
            return new OpenApiDescription(root, classes, settings, warnings).readRoutes();
        } catch (JsonParseException
                | YamlEngineException
                | IllegalStateException
                | ClassCastException
                | UnsupportedOperationException
                | IllegalArgumentException e) { // also thrown for numbers: malformed, NaN or infinite
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new InvalidDescriptionException("it is not the JSON or YAML expected: " + firstLine);
        } catch (StackOverflowError e) {
            throw new InvalidDescriptionException("it is nested too deeply");
        }
    }

    private static JsonObject parse(String text) throws InvalidDescriptionException {
        boolean isJson = text.stripLeading().startsWith("{");
        JsonElement tree = isJson ? new Gson().fromJson(text, JsonElement.class) : parseYaml(text);
        if (tree == null || !tree.isJsonObject()) {
            throw new InvalidDescriptionException("it is not an object");
        }
        return tree.getAsJsonObject();
    }

    private static JsonElement parseYaml(String text) {
        LoadSettings settings =
                LoadSettings.builder().setAllowRecursiveKeys(false).build();
        return new Gson().toJsonTree(new Load(settings).loadFromString(text));
    }

    private Routes readRoutes() throws InvalidDescriptionException {
        String version = JsonValues.text(root, "openapi");
        if (version == null || !version.matches("3\\.[01]\\.\\d+(-.*)?")) {
            throw new InvalidDescriptionException("it is not OpenAPI 3.0 or 3.1");
        }
        Routes routes = new Routes();
        for (Map.Entry<String, JsonElement> entry :
                JsonValues.object(root, "paths").entrySet()) {
            if (!entry.getKey().startsWith("x-")) {
                readPath(entry.getKey(), entry.getValue(), routes);
            }
        }
        if (routes.size() == 0) {
            throw new InvalidDescriptionException("it contains no operation");
        }
        return routes;
    }

    private void readPath(String path, JsonElement pathItem, Routes routes) throws InvalidDescriptionException {
        if (!path.startsWith("/")) {
            throw new InvalidDescriptionException("the path " + path + " does not begin with a slash");
        }
        for (Map.Entry<String, Map<String, Route>> prefixed : operationsByPrefix(
                        path, references.resolve(pathItem.getAsJsonObject()))
                .entrySet()) {
            if (!routes.add(prefixed.getKey() + path, prefixed.getValue())) {
                throw new InvalidDescriptionException(
                        "the path " + path + " occurs twice, apart from the names of its variables");
            }
        }
    }

    /** The operations of a path by method, for each server prefix: an operation may declare its own servers. */
    private Map<String, Map<String, Route>> operationsByPrefix(String path, JsonObject pathItem)
            throws InvalidDescriptionException {
        Map<String, Map<String, Route>> operationsByPrefix = new LinkedHashMap<>();
        for (Map.Entry<String, JsonElement> entry : pathItem.entrySet()) {
            if (METHODS.contains(entry.getKey())) {
                String method = entry.getKey().toUpperCase(Locale.ROOT);
                JsonObject operation = entry.getValue().getAsJsonObject();
                Route route = operationReader.read(method + " " + path, pathItem, operation);
                for (String prefix : serverPrefixes.of(pathItem, operation)) {
                    operationsByPrefix
                            .computeIfAbsent(prefix, unused -> new LinkedHashMap<>())
                            .put(method, route);
                }
            }
        }
        return operationsByPrefix;
    }
}
