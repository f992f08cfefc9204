package stonelb.description;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import stonelb.config.JsonValues;

/** The path prefixes that the {@code servers} of a description add to its paths. */
final class ServerPrefixes {
    private static final String SERVERS = "servers";

    private final JsonObject root;

    ServerPrefixes(JsonObject root) {
        this.root = root;
    }

    /** The prefixes of the servers that apply: the operation's, else the path's, else the description's. */
    Set<String> of(JsonObject pathItem, JsonObject operation) throws InvalidDescriptionException {
        Set<String> prefixes = new LinkedHashSet<>();
        for (JsonElement server : applicableServers(pathItem, operation)) {
            prefixes.add(prefix(url(server.getAsJsonObject())));
        }
        return prefixes.isEmpty() ? Set.of("") : prefixes;
    }

    private JsonArray applicableServers(JsonObject pathItem, JsonObject operation) {
        JsonArray servers = JsonValues.array(operation, SERVERS);
        servers = servers.isEmpty() ? JsonValues.array(pathItem, SERVERS) : servers;
        return servers.isEmpty() ? JsonValues.array(root, SERVERS) : servers;
    }

    /** The server's URL with the default values of its variables. */
    private static String url(JsonObject server) {
        String url = String.valueOf(JsonValues.text(server, "url"));
        for (Map.Entry<String, JsonElement> variable :
                JsonValues.object(server, "variables").entrySet()) {
            String value = JsonValues.text(variable.getValue().getAsJsonObject(), "default");
            url = url.replace("{" + variable.getKey() + "}", String.valueOf(value));
        }
        return url;
    }

    /** The path of a URL, without a trailing slash. */
    private static String prefix(String url) throws InvalidDescriptionException {
        int schemeEnd = url.indexOf("://");
        int pathStart = url.indexOf('/', schemeEnd < 0 ? 0 : schemeEnd + 3);
        if ((schemeEnd < 0 && pathStart != 0) || url.contains("{")) {
            throw new InvalidDescriptionException(
                    "the server " + url + " has no absolute path, or a variable with no default");
        }
        String path = pathStart < 0 ? "" : url.substring(pathStart);
        return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
    }
}
