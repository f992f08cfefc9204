package stonelb.gateway.openapi;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;

/**
 * The settings of the OpenAPI frontend.
 *
 * @param listen the address to listen on
 * @param description the file of the OpenAPI description
 * @param serverPort the port at which endpoints serve HTTP
 * @param reloadMs how often the description's file is checked for a change
 */
public record OpenApiSettings(InetSocketAddress listen, Path description, int serverPort, int reloadMs) {
    private static final int DEFAULT_RELOAD_MS = 1000;
    private static final int MIN_RELOAD_MS = 10;
    private static final int MAX_PORT = 0xffff;
    private static final List<String> REQUIRED_KEYS = List.of("listen", "description", "serverPort");

    /**
     * Reads the settings from a JSON file.
     *
     * @return the settings, or null if the file does not exist or disables the frontend
     * @throws InvalidConfigurationException if the file cannot be read or is invalid
     */
    public static OpenApiSettings read(Path file) throws InvalidConfigurationException {
        if (!Files.exists(file)) {
            return null;
        }
        try {
            JsonObject root = new Gson().fromJson(Files.readString(file), JsonObject.class);
            if (root == null || !root.has("enabled")) {
                throw new InvalidConfigurationException(file + " does not say whether the frontend is enabled");
            }
            return root.get("enabled").getAsBoolean() ? parse(file, root) : null;
        } catch (IOException e) {
            throw new InvalidConfigurationException(file + " can't be read");
        } catch (JsonParseException
                | IllegalStateException
                | UnsupportedOperationException
                | ClassCastException
                | IllegalArgumentException e) {
            throw new InvalidConfigurationException(file + " is not valid: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    private static OpenApiSettings parse(Path file, JsonObject root) throws InvalidConfigurationException {
        for (String key : REQUIRED_KEYS) {
            if (!root.has(key)) {
                throw new InvalidConfigurationException(file + " has no '" + key + "'");
            }
        }
        int port = root.get("serverPort").getAsInt();
        int reloadMs = root.has("reloadMs") ? root.get("reloadMs").getAsInt() : DEFAULT_RELOAD_MS;
        if (port < 1 || port > MAX_PORT || reloadMs < MIN_RELOAD_MS) {
            throw new InvalidConfigurationException(file + " has a 'serverPort' or 'reloadMs' out of bounds");
        }
        return new OpenApiSettings(
                Configuration.address("listen", root.get("listen").getAsString()),
                Path.of(root.get("description").getAsString()),
                port,
                reloadMs);
    }
}
