package stonelb.description;

/** Thrown for a request path that is not valid. */
public final class MalformedPathException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedPathException(String message) {
        super(message);
    }
}
