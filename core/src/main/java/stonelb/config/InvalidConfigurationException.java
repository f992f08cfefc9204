package stonelb.config;

/** Thrown if a configuration is not valid; the message states the reason in one sentence. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message for the operator. */
    public InvalidConfigurationException(String message) {
        super(message);
    }
}
