package stonelb.io;

/** Thrown for input that violates a protocol or a limit. The message quotes no input, so it is safe to log. */
public final class MalformedInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that quotes no input. */
    public MalformedInputException(String message) {
        super(message);
    }
}
