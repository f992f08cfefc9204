package stonelb.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.UUID;

/**
 * Writes files atomically. The content goes to a temporary file in the same folder, which is synced and
 * then renamed over the file, so that a failure or a crash leaves the old file as it was.
 */
final class AtomicFileWriter {

    /** Writes the content of a file. */
    @FunctionalInterface
    interface Content {
        void writeTo(OutputStream out) throws IOException;
    }

    private AtomicFileWriter() {}

    /**
     * Replaces a file with text encoded as UTF-8.
     *
     * @throws IOException if the file cannot be written; the message is a single line that names the file
     */
    static void write(Path file, String text) throws IOException {
        write(file, out -> out.write(text.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Replaces a file.
     *
     * @throws IOException if the file cannot be written; the message is a single line that names the file
     */
    static void write(Path file, Content content) throws IOException {
        Path folder = file.toAbsolutePath().getParent();
        Path temporaryFile = folder.resolve("." + file.getFileName() + "." + UUID.randomUUID() + ".tmp");
        try {
            writeSynced(temporaryFile, content);
            Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
            syncFolder(folder);
        } catch (IOException e) {
            throw new IOException("can't write " + file + ": " + reason(e), e);
        } finally {
            deleteLeftover(temporaryFile);
        }
    }

    private static void writeSynced(Path file, Content content) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            content.writeTo(Channels.newOutputStream(channel));
            channel.force(true);
        }
    }

    /** Makes a rename in the folder durable. */
    private static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Deletes the temporary file of a failed write; a successful write has renamed it. */
    private static void deleteLeftover(Path temporaryFile) {
        try {
            Files.deleteIfExists(temporaryFile);
        } catch (IOException e) {
            // Ignored: the caller needs the exception of the failed write, which this one would replace.
        }
    }

    private static String reason(IOException failure) {
        if (failure instanceof NoSuchFileException) {
            return "its folder does not exist";
        }
        if (failure instanceof AccessDeniedException) {
            return "permission denied";
        }
        return failure.getMessage();
    }
}
