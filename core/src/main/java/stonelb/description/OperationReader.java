package stonelb.description;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import stonelb.config.JsonValues;
import stonelb.decision.DecisionSettings;
import stonelb.decision.Idempotency;

/** Reads one operation of a description: its request class, its cost, and what a request to it must contain. */
final class OperationReader {
    private static final String CLASS_EXTENSION = "x-stonelb-class";
    private static final String COST_EXTENSION = "x-stonelb-cost";
    private static final String DEFAULT_CLASS_EXTENSION = "x-stonelb-default-class";
    private static final double DEFAULT_COST = 1;

    private final JsonObject root;
    private final References references;
    private final List<String> classes;
    private final DecisionSettings settings;
    private final Consumer<String> warnings;

    OperationReader(
            JsonObject root,
            References references,
            List<String> classes,
            DecisionSettings settings,
            Consumer<String> warnings) {
        this.root = root;
        this.references = references;
        this.classes = classes;
        this.settings = settings;
        this.warnings = warnings;
    }

    Route read(String name, JsonObject pathItem, JsonObject operation) throws InvalidDescriptionException {
        double cost = cost(name, findExtension(COST_EXTENSION, operation, pathItem));
        Set<String> requiredQueryParameters = new LinkedHashSet<>();
        Set<String> requiredHeaders = new LinkedHashSet<>();
        // An operation's own parameters replace those of its path.
        for (JsonObject declaring : List.of(pathItem, operation)) {
            for (JsonElement parameter : JsonValues.array(declaring, "parameters")) {
                readParameter(
                        references.resolve(parameter.getAsJsonObject()), requiredQueryParameters, requiredHeaders);
            }
        }
        JsonObject body =
                operation.has("requestBody") ? references.resolve(operation.getAsJsonObject("requestBody")) : null;
        int requestClass = requestClass(name, findExtension(CLASS_EXTENSION, operation, pathItem));
        return new Route(
                name,
                requestClass,
                cost,
                List.copyOf(requiredQueryParameters),
                List.copyOf(requiredHeaders),
                body != null && isRequired(body));
    }

    private double cost(String name, JsonElement declared) throws InvalidDescriptionException {
        if (declared == null) {
            return DEFAULT_COST;
        }
        double cost = declared.getAsDouble();
        double largest = settings.maxUnits();
        if (!(cost > 0) || Double.isInfinite(cost) || (largest > 0 && cost > largest)) {
            throw new InvalidDescriptionException(name + " costs " + cost + ", which is not above 0 and at most "
                    + largest + ", the limit in the settings");
        }
        return cost;
    }

    private static void readParameter(
            JsonObject parameter, Set<String> requiredQueryParameters, Set<String> requiredHeaders) {
        String location = JsonValues.text(parameter, "in");
        if ("query".equals(location)) {
            String name = String.valueOf(JsonValues.text(parameter, "name"));
            addOrRemove(requiredQueryParameters, name, isRequired(parameter));
        } else if ("header".equals(location)) {
            String name = String.valueOf(JsonValues.text(parameter, "name"));
            addOrRemove(requiredHeaders, name.toLowerCase(Locale.ROOT), isRequired(parameter));
        }
    }

    private static void addOrRemove(Set<String> names, String name, boolean required) {
        if (required) {
            names.add(name);
        } else {
            names.remove(name);
        }
    }

    private static boolean isRequired(JsonObject parameterOrBody) {
        return parameterOrBody.has("required")
                && parameterOrBody.get("required").getAsBoolean();
    }

    /** The declared class, else the description's default, else an at-most-once class. */
    private int requestClass(String name, JsonElement declared) throws InvalidDescriptionException {
        JsonElement className = declared != null ? declared : root.get(DEFAULT_CLASS_EXTENSION);
        if (className != null) {
            int index = classes.indexOf(className.getAsString());
            if (index < 0) {
                throw new InvalidDescriptionException(
                        name + " has the class " + className.getAsString() + ", which the settings do not define");
            }
            return index;
        }
        // The operation may be a write, which must not be retried: it could run twice.
        for (int i = 0; i < classes.size(); i++) {
            if (settings.classes().get(i).idempotency() == Idempotency.AT_MOST_ONCE) {
                warnings.accept(name + " has no class, using " + classes.get(i) + ", an at-most-once class");
                return i;
            }
        }
        throw new InvalidDescriptionException(name + " has no class, the description sets no default class,"
                + " and the settings have no at-most-once class");
    }

    /** An extension of the operation, else of its path, else null. */
    private static JsonElement findExtension(String key, JsonObject operation, JsonObject pathItem) {
        return operation.has(key) ? operation.get(key) : pathItem.get(key);
    }
}
