package stonelb.control.quota;

/** Thrown for an invalid bucket id. The message says why in one sentence. */
public final class InvalidBucketException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidBucketException(String message) {
        super(message);
    }
}
