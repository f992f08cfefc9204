package stonelb.follower;

/** Thrown when a resource is rejected; the message becomes the error detail of the NACK. */
final class InvalidResourceException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidResourceException(String message) {
        super(message);
    }
}
