package stonelb.io;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.TimeUnit;

/**
 * File attributes that reveal a change of the file without reading its content.
 *
 * @param fileKey the file's inode, or null if the file system has none
 * @param modifiedNanos time of the last modification
 * @param bytes length of the file
 */
public record FileFingerprint(Object fileKey, long modifiedNanos, long bytes) {

    /** The current fingerprint of the file, or null if its attributes can't be read. */
    public static FileFingerprint of(Path file) {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            long modifiedNanos = attributes.lastModifiedTime().to(TimeUnit.NANOSECONDS);
            return new FileFingerprint(attributes.fileKey(), modifiedNanos, attributes.size());
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}
