package stonelb.control.xds;

import com.google.common.hash.Hashing;
import com.google.protobuf.Message;

/**
 * A resource with its version.
 *
 * @param message the resource
 * @param version a hash of its bytes, 16 hex digits: it changes only with the content
 */
public record VersionedMessage(Message message, String version) {

    /**
     * The message with a hash of its bytes as version. Equal content may serialize differently only if a message has a
     * map of several entries, which none of those served has; a different hash would only cause one extra push.
     */
    public static VersionedMessage of(Message message) {
        String version =
                Hashing.farmHashFingerprint64().hashBytes(message.toByteArray()).toString();
        return new VersionedMessage(message, version);
    }
}
