package stonelb.cli;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.control.ControlSettings;
import stonelb.description.InvalidDescriptionException;
import stonelb.description.OpenApiDescription;
import stonelb.gateway.openapi.OpenApiSettings;

/** Validates a settings file with the parser of the program that uses it, and prints its kind or the error. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Check a settings file: a gateway's configuration, the control service's, the second front's; or an"
                        + " OpenAPI description, with the configuration whose classes it uses.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(names = "--config", paramLabel = "FILE", description = "for a description: the gateway's configuration")
    private Path gatewayConfiguration;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (!Files.exists(file)) {
            throw new InvalidConfigurationException(file + " is not there");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println(file + ": " + check(Files.readString(file)));
        out.flush();
        return 0;
    }

    /** Returns a description of the kind of file; throws if the kind is unknown or the file is invalid. */
    private String check(String text) throws IOException, InvalidConfigurationException {
        JsonObject root = parseJson(text);
        if (root != null && root.has("settings")) {
            Configuration configuration = readConfiguration(file);
            return "a configuration with " + configuration.classes().size() + " classes and "
                    + configuration.plans().size() + " plans";
        }
        if (root != null && (root.has("gateway") || root.has("plaintext") || root.has("tls"))) {
            return ControlSettings.read(file) == null ? "control settings, off" : "control settings";
        }
        if (root != null && !root.has("openapi")) {
            return OpenApiSettings.read(file) == null
                    ? "settings of the OpenAPI front, off"
                    : "settings of the OpenAPI front";
        }
        return checkDescription(text);
    }

    /** Parses text as a JSON object; returns null if it is another format, such as YAML. */
    private JsonObject parseJson(String text) throws InvalidConfigurationException {
        if (!text.stripLeading().startsWith("{")) {
            return null;
        }
        try {
            return new Gson().fromJson(text, JsonObject.class);
        } catch (JsonParseException e) {
            String firstLine = e.getMessage().lines().findFirst().orElse("");
            throw new InvalidConfigurationException(file + " is not JSON: " + firstLine);
        }
    }

    private String checkDescription(String text) throws InvalidConfigurationException {
        if (gatewayConfiguration == null) {
            throw new InvalidConfigurationException(
                    "--config has to name the configuration whose classes the description uses");
        }
        Configuration configuration = readConfiguration(gatewayConfiguration);
        PrintWriter out = spec.commandLine().getOut();
        try {
            int operations = OpenApiDescription.read(
                            text.getBytes(StandardCharsets.UTF_8),
                            configuration.classes(),
                            configuration.settings(),
                            warning -> out.println(file + ": " + warning))
                    .size();
            return "a description with " + operations + " operations";
        } catch (InvalidDescriptionException e) {
            throw new InvalidConfigurationException("the description " + file + " is rejected: " + e.getMessage());
        }
    }

    private static Configuration readConfiguration(Path path) throws InvalidConfigurationException {
        return Configuration.read(Map.of("PROXY_CONFIG", path.toString()));
    }
}
