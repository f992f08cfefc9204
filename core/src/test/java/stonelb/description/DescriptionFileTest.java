package stonelb.description;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/** Tests periodic reloads of the description file. */
class DescriptionFileTest {
    private static final int RELOAD_INTERVAL_MS = 5;
    private static final long MAX_WAIT_MS = 10_000;
    private static final String HEAD = "openapi: 3.0.0\nx-stonelb-default-class: read\npaths:\n  ";

    @TempDir
    private Path directory;

    private final BlockingQueue<String> logLines = new LinkedBlockingQueue<>();
    private final BlockingQueue<Routes> reloads = new LinkedBlockingQueue<>();
    private final RateLimitedLog log = new RateLimitedLog(logLines::add);
    private final EventLoop loop = new EventLoop(log);

    @AfterEach
    void shutDown() {
        loop.shutdown();
    }

    private Path file() {
        return directory.resolve("openapi.yaml");
    }

    /** Replaces the file atomically, so that the reload never reads a partial file. */
    private void replace(String text) throws IOException {
        Path next = Files.writeString(directory.resolve("next.yaml"), text);
        Files.move(next, file(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Test
    void keepsRoutesOnMalformedReferenceAndLoadsNextValidFile() throws Exception {
        replace(HEAD + "/a: {get: {}}");
        DescriptionFile description = new DescriptionFile(
                file(), List.of("read"), OpenApiDescriptionTest.settings(OpenApiDescriptionTest.READ), loop, log);
        assertEquals(1, description.load().size());
        description.watch(RELOAD_INTERVAL_MS, reloads::add);

        replace(HEAD + "/a: {$ref: '#/paths/%zz'}");
        assertEquals(
                "description rejected, keeping the current one: " + file()
                        + ": the reference #/paths/%zz has a broken escape",
                logLines.poll(MAX_WAIT_MS, TimeUnit.MILLISECONDS));
        assertNull(reloads.peek(), "the current routes are kept");

        replace(HEAD + "/a: {get: {}, put: {}}");
        Routes reloaded = reloads.poll(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(reloaded, "the file is still watched");
        assertEquals(2, reloaded.size());
    }
}
