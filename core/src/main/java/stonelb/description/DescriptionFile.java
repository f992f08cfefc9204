package stonelb.description;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import stonelb.decision.DecisionSettings;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/**
 * The file with the OpenAPI description. A dedicated thread reloads it periodically, because parsing a large file on the
 * event loop would delay requests; the event loop receives the finished routes.
 */
public final class DescriptionFile {
    private static final long MAX_BYTES = 4L << 20;
    private static final String THREAD_NAME = "description";

    private final Path file;
    private final List<String> classes;
    private final DecisionSettings settings;
    private final EventLoop loop;
    private final RateLimitedLog log;

    /** The text read last, valid or not. */
    private byte[] lastText = {};

    /** Creates the object without reading the file; {@code classes} are the names of the request classes. */
    public DescriptionFile(
            Path file, List<String> classes, DecisionSettings settings, EventLoop loop, RateLimitedLog log) {
        this.file = file;
        this.classes = classes;
        this.settings = settings;
        this.loop = loop;
        this.log = log;
    }

    /**
     * Loads the routes of the file; null if its text has not changed since the last call.
     *
     * @throws InvalidDescriptionException if the file can't be read, is too large or is not valid
     */
    public Routes load() throws InvalidDescriptionException {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new InvalidDescriptionException("it is larger than " + MAX_BYTES + " bytes");
            }
            byte[] text = Files.readAllBytes(file);
            if (Arrays.equals(text, lastText)) {
                return null;
            }
            lastText = text;
            return OpenApiDescription.read(
                    text, classes, settings, warning -> log.info("description " + file + ": " + warning));
        } catch (IOException e) {
            throw new InvalidDescriptionException("it can't be read");
        }
    }

    /** Starts a thread that reloads the file periodically; {@code onReload} receives new routes on the event-loop thread. */
    public void watch(int intervalMs, Consumer<Routes> onReload) {
        Thread thread = new Thread(
                () -> {
                    try {
                        reloadPeriodically(intervalMs, onReload);
                    } catch (InterruptedException | RejectedExecutionException e) {
                        return; // the event loop has been shut down
                    }
                },
                THREAD_NAME);
        thread.setDaemon(true);
        thread.start();
    }

    private void reloadPeriodically(int intervalMs, Consumer<Routes> onReload) throws InterruptedException {
        String lastRejection = ""; // a file that stays invalid is logged once
        while (true) {
            Thread.sleep(intervalMs);
            try {
                Routes routes = load();
                lastRejection = "";
                if (routes != null) {
                    loop.execute(() -> publish(routes, onReload));
                }
            } catch (InvalidDescriptionException e) {
                String reason = e.getMessage();
                if (!reason.equals(lastRejection)) {
                    loop.execute(() -> logRejection(reason));
                }
                lastRejection = reason;
            }
        }
    }

    private void publish(Routes routes, Consumer<Routes> onReload) {
        onReload.accept(routes);
        log.info("description " + file + " reloaded: " + routes.size() + " operations");
    }

    private void logRejection(String reason) {
        log.info("description rejected, keeping the current one: " + file + ": " + reason);
    }
}
