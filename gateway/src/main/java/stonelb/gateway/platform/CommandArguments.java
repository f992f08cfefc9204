package stonelb.gateway.platform;

/** Positions of the arguments of the commands {@code Q.ASK} and {@code Q.DO}; a body may follow the fields. */
final class CommandArguments {
    static final int CUSTOMER = 1;
    static final int REQUEST_ID = 2;
    static final int FIELDS = 3;
    static final int MIN_COUNT = 4;
    static final int MAX_COUNT = 5;

    private CommandArguments() {}
}
