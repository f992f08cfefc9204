package stonelb.config;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import stonelb.decision.DecisionSettings;
import stonelb.decision.simulator.SettingsParser;

/**
 * The configuration of a gateway, from its environment and its configuration file.
 *
 * @param name of the gateway in log lines
 * @param listen address on which the gateway listens for clients
 * @param discovery address of the discovery service
 * @param counter address of the quota counter, null for none
 * @param seed of the decision engine's random numbers
 * @param maxSockets limit of the open connections
 * @param cachedEndpoints the endpoint list that was in use before this process started, null for none
 * @param settings of the decision engine
 * @param classes names of the request classes, in the order of the settings
 * @param deadlinesMs time that a client waits for a response, for each request class
 * @param plans names of the plans, in the order of the settings
 * @param zones names of the zones, the gateway's own first
 * @param connIdleMs idle timeout of the connections to endpoints
 * @param connectTimeoutMs timeout of the connection attempts to endpoints
 * @param maxOpenRequests limit of the requests in flight
 */
public record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress counter,
        long seed,
        int maxSockets,
        JsonObject cachedEndpoints,
        DecisionSettings settings,
        List<String> classes,
        List<Double> deadlinesMs,
        List<String> plans,
        List<String> zones,
        double connIdleMs,
        int connectTimeoutMs,
        int maxOpenRequests) {
    private static final String FILE_VARIABLE = "PROXY_CONFIG";
    private static final String NO_ENVIRONMENT_VARIABLE = "";
    private static final int SEED_RADIX = 16;
    private static final int DEFAULT_MAX_SOCKETS = 1024;
    private static final double DEFAULT_IDLE_TIMEOUT_MS = 30_000;
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final int DEFAULT_MAX_OPEN_REQUESTS = 20_000;
    private static final int MAX_PORT = 0xffff;
    private static final int MAX_IPV4_OCTET = 0xff;

    /**
     * Reads the configuration file that the environment variable {@code PROXY_CONFIG} names.
     *
     * @throws InvalidConfigurationException if there is no such file, or if it is not valid
     */
    public static Configuration read(Map<String, String> environment) throws InvalidConfigurationException {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigurationException(FILE_VARIABLE + " names no configuration file");
        }
        try {
            JsonObject root = new Gson().fromJson(Files.readString(Path.of(file)), JsonObject.class);
            if (root == null) {
                throw new InvalidConfigurationException("the configuration " + file + " is empty");
            }
            return read(root, environment);
        } catch (IOException e) {
            throw new InvalidConfigurationException("the configuration " + file + " can't be read");
        } catch (JsonParseException
                | IllegalArgumentException
                | ClassCastException
                | IllegalStateException
                | UnsupportedOperationException e) {
            String firstLine =
                    String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new InvalidConfigurationException("the configuration " + file + " is not valid: " + firstLine);
        }
    }

    private static Configuration read(JsonObject root, Map<String, String> environment)
            throws InvalidConfigurationException {
        JsonObject settingsJson = JsonValues.object(root, "settings");
        DecisionSettings settings = SettingsParser.read(settingsJson);
        List<String> classes = entryNames(settingsJson, "categories");
        List<String> plans = entryNames(settingsJson, "tiersOfService");
        if (classes.isEmpty() || plans.isEmpty()) {
            throw new InvalidConfigurationException("the settings contain no request class or no plan");
        }
        List<Double> deadlinesMs = deadlinesMs(settingsJson);
        List<String> zones = new ArrayList<>();
        JsonValues.array(settingsJson, "azs").forEach(zone -> zones.add(zone.getAsString()));
        JsonObject limits = JsonValues.object(settingsJson, "allowed");
        String seed = textOrEnvironment(root, environment, "seed", NO_ENVIRONMENT_VARIABLE, "0");
        return new Configuration(
                textOrEnvironment(root, environment, "name", "PROXY_NAME", "gateway"),
                address("listen", textOrEnvironment(root, environment, "listen", "PROXY_LISTEN", null)),
                address("discovery", textOrEnvironment(root, environment, "discovery", "PROXY_DISCOVERY", null)),
                counterAddress(root),
                Long.parseUnsignedLong(seed, SEED_RADIX),
                (int) JsonValues.number(JsonValues.object(root, "limits"), "sockets", DEFAULT_MAX_SOCKETS),
                cachedEndpoints(root),
                settings,
                List.copyOf(classes),
                List.copyOf(deadlinesMs),
                List.copyOf(plans),
                List.copyOf(zones),
                JsonValues.number(limits, "connIdleMs", DEFAULT_IDLE_TIMEOUT_MS),
                (int) JsonValues.number(limits, "connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
                (int) JsonValues.number(limits, "maxOpen", DEFAULT_MAX_OPEN_REQUESTS));
    }

    private static List<Double> deadlinesMs(JsonObject settingsJson) {
        List<Double> deadlinesMs = new ArrayList<>();
        for (JsonElement requestClass : settingsJson.getAsJsonArray("categories")) {
            deadlinesMs.add(JsonValues.number(requestClass.getAsJsonObject(), "deadlineMs", 0));
        }
        return deadlinesMs;
    }

    private static InetSocketAddress counterAddress(JsonObject root) throws InvalidConfigurationException {
        JsonElement counter = root.get("counter");
        return counter == null || counter.isJsonNull() ? null : address("counter", counter.getAsString());
    }

    private static JsonObject cachedEndpoints(JsonObject root) {
        JsonElement known = root.get("known");
        return known != null && known.isJsonObject() ? known.getAsJsonObject() : null;
    }

    /**
     * Parses an address of the form {@code host:port}. The host must be an IP address, since names are not resolved.
     *
     * @param setting name of the setting, for the error message
     * @throws InvalidConfigurationException if the text is not such an address, or null
     */
    public static InetSocketAddress address(String setting, String text) throws InvalidConfigurationException {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon > 0) {
            String host = text.substring(0, colon);
            String port = text.substring(colon + 1);
            if (isAddressLiteral(host) && port.matches("\\d{1,5}") && Integer.parseInt(port) <= MAX_PORT) {
                return new InetSocketAddress(host, Integer.parseInt(port));
            }
        }
        throw new InvalidConfigurationException("'" + setting + "' is not an address of the form host:port");
    }

    /** Whether the text is an IPv4 address, or an IPv6 address in brackets. */
    private static boolean isAddressLiteral(String host) {
        if (host.startsWith("[")) {
            return host.matches("\\[[0-9a-fA-F:.]+]");
        }
        return host.matches("\\d{1,3}(\\.\\d{1,3}){3}")
                && Arrays.stream(host.split("\\.")).allMatch(octet -> Integer.parseInt(octet) <= MAX_IPV4_OCTET);
    }

    private static List<String> entryNames(JsonObject settingsJson, String key) throws InvalidConfigurationException {
        List<String> names = new ArrayList<>();
        for (JsonElement entry : JsonValues.array(settingsJson, key)) {
            String name = JsonValues.text(entry.getAsJsonObject(), "name");
            if (name == null) {
                throw new InvalidConfigurationException("an entry of '" + key + "' in the settings has no name");
            }
            names.add(name);
        }
        return names;
    }

    /** The value in the file, else the environment variable, else the default. */
    private static String textOrEnvironment(
            JsonObject root, Map<String, String> environment, String key, String variable, String defaultValue) {
        JsonElement value = root.get(key);
        return value != null && !value.isJsonNull()
                ? value.getAsString()
                : environment.getOrDefault(variable, defaultValue);
    }
}
