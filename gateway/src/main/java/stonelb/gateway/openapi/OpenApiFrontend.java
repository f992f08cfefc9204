package stonelb.gateway.openapi;

import java.util.Map;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.core.RequestTable;
import stonelb.description.DescriptionFile;
import stonelb.description.InvalidDescriptionException;
import stonelb.description.Routes;
import stonelb.gateway.frontend.ClientConnection;
import stonelb.gateway.frontend.Frontend;
import stonelb.gateway.frontend.NameIndex;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/** The frontend for HTTP requests, whose routes, classes and costs come from an OpenAPI description. */
public final class OpenApiFrontend extends Frontend {
    private final Configuration config;
    private final Map<String, Integer> planIndexes;
    private Routes routes; // of the current description; replaced on the event loop

    /**
     * Reads the description and then watches its file for changes.
     *
     * @throws InvalidConfigurationException if the description is missing or invalid
     */
    public OpenApiFrontend(
            EventLoop loop,
            RateLimitedLog log,
            RequestTable requestTable,
            Configuration config,
            OpenApiSettings settings,
            int maxConnections)
            throws InvalidConfigurationException {
        super(loop, loop, log, requestTable, config.maxOpenRequests(), maxConnections);
        this.config = config;
        planIndexes = NameIndex.of(config.plans());
        DescriptionFile descriptionFile =
                new DescriptionFile(settings.description(), config.classes(), config.settings(), loop, log);
        routes = load(descriptionFile, settings);
        descriptionFile.watch(settings.reloadMs(), newRoutes -> routes = newRoutes);
    }

    private static Routes load(DescriptionFile descriptionFile, OpenApiSettings settings)
            throws InvalidConfigurationException {
        Routes loaded;
        try {
            loaded = descriptionFile.load();
        } catch (InvalidDescriptionException e) {
            throw new InvalidConfigurationException(
                    "the description " + settings.description() + " is rejected: " + e.getMessage());
        }
        if (loaded == null) {
            throw new InvalidConfigurationException("the description " + settings.description() + " is empty");
        }
        return loaded;
    }

    @Override
    protected ClientConnection accept(RateLimitedLog log) {
        return new OpenApiConnection(this, log);
    }

    Routes routes() {
        return routes;
    }

    /** The indexes of the plans by name. */
    Map<String, Integer> planIndexes() {
        return planIndexes;
    }

    /** The deadline of requests of a class that specify none, in milliseconds. */
    double deadlineMs(int requestClass) {
        return config.deadlinesMs().get(requestClass);
    }

    int gateways() {
        return config.settings().gateways();
    }
}
