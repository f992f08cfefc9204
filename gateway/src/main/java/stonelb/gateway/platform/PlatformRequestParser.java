package stonelb.gateway.platform;

import java.util.List;
import java.util.Map;
import stonelb.config.Configuration;
import stonelb.core.RequestAttributes;
import stonelb.decision.Idempotency;
import stonelb.gateway.frontend.NameIndex;
import stonelb.io.MalformedInputException;

/**
 * Parses the arguments of the commands {@code Q.ASK} and {@code Q.DO}. Since requests are not authenticated, every
 * value has to be well-formed and in range before it counts towards a customer's quota.
 */
final class PlatformRequestParser {
    private static final int CUSTOMER_DIGITS = 16;
    private static final long CUSTOMER_LIMIT = 1L << 33;
    private static final int MAX_ID_LENGTH = 64;

    /** The longest timeout, as a multiple of the deadline of the request class. */
    private static final double MAX_TIMEOUT_FACTOR = 4;

    private final Configuration config;
    private final int gateways;
    private final double maxUnits;
    private final Map<String, Integer> classes;
    private final Map<String, Integer> plans;

    /**
     * The attributes of a request; the digits of its timeout are at {@code timeoutStart} to {@code timeoutEnd} of its
     * fields.
     */
    record ParsedRequest(RequestAttributes attributes, int timeoutStart, int timeoutEnd) {}

    PlatformRequestParser(Configuration config) {
        this.config = config;
        gateways = Math.max(1, config.settings().gateways());
        maxUnits = config.settings().maxUnits() > 0 ? config.settings().maxUnits() : Double.MAX_VALUE;
        classes = NameIndex.of(config.classes());
        plans = NameIndex.of(config.plans());
    }

    /**
     * Parses a command.
     *
     * @param arrivedAt when the command arrived, on the event loop's clock, from which the timeout counts
     * @param idempotent whether the command is the one for idempotent classes
     * @throws MalformedInputException if an argument is invalid; its message is sent to the client
     */
    ParsedRequest parse(double arrivedAt, boolean idempotent, List<byte[]> arguments) throws MalformedInputException {
        if (arguments.size() < CommandArguments.MIN_COUNT || arguments.size() > CommandArguments.MAX_COUNT) {
            throw new MalformedInputException("wrong number of arguments");
        }
        long customer = parseCustomer(arguments.get(CommandArguments.CUSTOMER));
        checkId(arguments.get(CommandArguments.REQUEST_ID));
        RequestFields fields = RequestFields.parse(arguments.get(CommandArguments.FIELDS), classes, plans);
        checkFields(fields, idempotent);
        RequestAttributes attributes = new RequestAttributes(
                fields.requestClass(),
                fields.plan(),
                customer,
                arrivedAt + fields.timeoutMs(),
                fields.units(),
                (int) fields.spread(),
                fields.isRetry());
        return new ParsedRequest(attributes, fields.timeoutStart(), fields.timeoutEnd());
    }

    private static long parseCustomer(byte[] argument) throws MalformedInputException {
        long customer = argument.length == CUSTOMER_DIGITS ? 0 : -1;
        for (int i = 0; i < argument.length && customer >= 0 && customer < CUSTOMER_LIMIT; i++) {
            int digit = Character.digit(argument[i], 16);
            customer = digit < 0 ? -1 : customer << 4 | digit;
        }
        if (customer < 0 || customer >= CUSTOMER_LIMIT) {
            throw new MalformedInputException("the customer is not 16 hexadecimal digits below 2^33");
        }
        return customer;
    }

    private static void checkId(byte[] argument) throws MalformedInputException {
        boolean valid = argument.length > 0 && argument.length <= MAX_ID_LENGTH;
        for (int i = 0; i < argument.length && valid; i++) {
            valid = argument[i] > ' ' && argument[i] < 0x7f;
        }
        if (!valid) {
            throw new MalformedInputException("the id is missing, too long or not plain text");
        }
    }

    private void checkFields(RequestFields fields, boolean idempotent) throws MalformedInputException {
        if (fields.requestClass() == null) {
            throw new MalformedInputException("the class is missing");
        }
        if (fields.plan() == null) {
            throw new MalformedInputException("the plan is missing");
        }
        int requestClass = fields.requestClass();
        if (idempotent != (config.settings().classes().get(requestClass).idempotency() == Idempotency.IDEMPOTENT)) {
            throw new MalformedInputException("the command is not the one of this class");
        }
        double maxTimeoutMs = MAX_TIMEOUT_FACTOR * config.deadlinesMs().get(requestClass);
        if (!(fields.timeoutMs() > 0 && fields.timeoutMs() <= maxTimeoutMs)) {
            throw new MalformedInputException("the time to wait is missing or out of range");
        }
        if (!(fields.units() > 0 && fields.units() <= maxUnits)) {
            throw new MalformedInputException("the units are missing or out of range");
        }
        if (!isWholeNumber(fields.spread(), 1, gateways) || !isWholeNumber(fields.first(), 0, gateways - 1)) {
            throw new MalformedInputException("the set is missing or out of range");
        }
    }

    private static boolean isWholeNumber(double value, int min, int max) {
        return value >= min && value <= max && value == Math.rint(value);
    }
}
