package stonelb.description;

/** Thrown for an invalid description; the message says in one sentence what is wrong. */
public final class InvalidDescriptionException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidDescriptionException(String message) {
        super(message);
    }
}
