package stonelb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The core package must stay independent of protocols and I/O: it imports only standard collections and the decision
 * engine, and handles no byte arrays.
 */
class CorePackageImportsTest {

    @Test
    void importsNoProtocolOrIoPackage() throws IOException {
        int fileCount = 0;
        try (Stream<Path> sourceFiles = Files.list(Path.of("src/main/java/stonelb/core"))) {
            for (Path file : sourceFiles.toList()) {
                fileCount++;
                List<String> lines = Files.readAllLines(file);
                assertEquals(
                        List.of(),
                        lines.stream()
                                .filter(line ->
                                        line.matches(".*\\b(io\\.netty|com\\.google|java\\.(nio|net|io)|byte\\[]).*")
                                                || (line.startsWith("import ")
                                                        && !line.matches("import (static )?java\\.util\\.[A-Z].*"
                                                                + "|import stonelb\\.decision\\.[A-Z].*")))
                                .toList(),
                        file.toString());
            }
        }
        assertTrue(fileCount >= 5, "source files of the core package not found");
    }
}
