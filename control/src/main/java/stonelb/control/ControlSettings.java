package stonelb.control;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;

/**
 * The settings of the control service, as read from {@code deploy/control.json}; docs/control.md lists the keys. Times
 * are in milliseconds.
 *
 * @param listen the address that proxies connect to
 * @param gateway the configuration file of a gateway, whose settings, discovery and counter this service shares
 * @param description the OpenAPI description file
 * @param reloadMs interval between checks of the description file
 * @param tls the TLS files, or null for plaintext, which is allowed on loopback addresses only
 * @param reportMs interval between usage reports of a proxy on one bucket
 * @param horizonMs length of the period of expected requests that a lease covers
 * @param lifeMs time to live of an assignment
 * @param fallbackMs how long a proxy may use the fallback quota after an assignment has expired
 * @param maxStreams maximum number of ADS streams
 * @param maxBuckets maximum number of quota buckets per proxy
 * @param grpcListener the name that proxyless gRPC clients resolve, or null
 */
public record ControlSettings(
        InetSocketAddress listen,
        Path gateway,
        Path description,
        int reloadMs,
        Tls tls,
        double reportMs,
        double horizonMs,
        double lifeMs,
        double fallbackMs,
        int maxStreams,
        int maxBuckets,
        String grpcListener) {

    private static final Set<String> KEYS = Set.of(
            "enabled",
            "listen",
            "gateway",
            "description",
            "reloadMs",
            "tls",
            "plaintext",
            "reportMs",
            "horizonMs",
            "lifeMs",
            "fallbackMs",
            "maxStreams",
            "maxBuckets",
            "grpcListener");
    private static final Set<String> TLS_KEYS = Set.of("certificate", "key", "clients");

    /**
     * The TLS files, in PEM format.
     *
     * @param certificate the certificate chain of this service
     * @param key its private key
     * @param clients the certificate authorities that sign proxies' certificates
     */
    public record Tls(Path certificate, Path key, Path clients) {}

    /**
     * Reads a settings file.
     *
     * @return the settings, or null if the file disables the service
     * @throws InvalidConfigurationException with a one-line message that names the invalid key
     */
    public static ControlSettings read(Path file) throws InvalidConfigurationException {
        try {
            return read(file.toString(), new Gson().fromJson(Files.readString(file), JsonObject.class));
        } catch (IOException e) {
            throw new InvalidConfigurationException(file + " can't be read");
        } catch (JsonParseException | ClassCastException e) {
            throw new InvalidConfigurationException(file + " is not a JSON object: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    static ControlSettings read(String file, JsonObject root) throws InvalidConfigurationException {
        if (root == null) {
            throw new InvalidConfigurationException(file + " is empty");
        }
        SettingsReader reader = new SettingsReader(file, root);
        reader.rejectUnknownKeys("", KEYS);
        if (!reader.bool("enabled", true)) {
            return null;
        }
        InetSocketAddress listen = Configuration.address(file + ": listen", reader.string("listen"));
        Tls tls = readTls(reader, listen);
        ControlSettings settings = new ControlSettings(
                listen,
                reader.path("gateway"),
                reader.path("description"),
                (int) reader.number("reloadMs", 1000, 10, 3_600_000),
                tls,
                reader.number("reportMs", 100, 10, 60_000),
                reader.number("horizonMs", 300, 10, 60_000),
                reader.number("lifeMs", 3000, 100, 600_000),
                reader.number("fallbackMs", 60_000, 1, 3_600_000),
                (int) reader.number("maxStreams", 4000, 1, 1_000_000),
                (int) reader.number("maxBuckets", 20_000, 1, 10_000_000),
                reader.optionalString("grpcListener"));
        if (settings.lifeMs() < 2 * settings.reportMs()) {
            throw new InvalidConfigurationException(
                    file + ": 'lifeMs' must be at least twice 'reportMs', or leases would expire between reports");
        }
        return settings;
    }

    /** The TLS files, or null for plaintext; exactly one of {@code tls} and {@code plaintext: true} is required. */
    private static Tls readTls(SettingsReader reader, InetSocketAddress listen) throws InvalidConfigurationException {
        boolean plaintext = reader.bool("plaintext", false);
        if (plaintext == reader.has("tls")) {
            throw reader.invalid("exactly one of 'tls' and 'plaintext': true is required");
        }
        if (plaintext && !listen.getAddress().isLoopbackAddress()) {
            throw reader.invalid("'plaintext' requires 'listen' to be a loopback address");
        }
        if (plaintext) {
            return null;
        }
        SettingsReader tls = reader.object("tls");
        tls.rejectUnknownKeys("tls.", TLS_KEYS);
        return new Tls(tls.path("certificate"), tls.path("key"), tls.path("clients"));
    }
}
