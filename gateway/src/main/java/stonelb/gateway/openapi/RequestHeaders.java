package stonelb.gateway.openapi;

import java.util.Map;
import java.util.regex.Pattern;
import stonelb.http.HttpMessage;
import stonelb.io.MalformedInputException;

/**
 * The customer, timeout and retry marker that the headers of a request specify.
 *
 * @param customer the customer's key
 * @param plan the index of the customer's plan
 * @param timeoutMs how long the client waits
 * @param spread the number of gateways over which the customer's requests are spread
 * @param retry whether the client has sent the request before
 */
record RequestHeaders(long customer, int plan, double timeoutMs, int spread, boolean retry) {
    static final String TIME_LEFT = "x-time-left-ms";

    private static final Pattern CUSTOMER = Pattern.compile("[0-9a-fA-F]{1,16}");
    private static final Pattern NUMBER = Pattern.compile("\\d{1,9}");
    private static final int CUSTOMER_RADIX = 16;

    /**
     * Parses the headers of a request. Since requests are not authenticated, every value has to be in range before it
     * counts towards a customer's quota.
     *
     * @param planIndexes the indexes of the plans by name
     * @param gateways the number of gateways, the default and the maximum of the spread
     * @param defaultTimeoutMs the timeout of a request that specifies none
     * @throws MalformedInputException if a header is missing or invalid; its message is sent to the client
     */
    static RequestHeaders parse(
            HttpMessage message, Map<String, Integer> planIndexes, int gateways, double defaultTimeoutMs)
            throws MalformedInputException {
        Map<String, String> headers = message.headers();
        String customer = headers.getOrDefault("x-customer", "");
        if (!CUSTOMER.matcher(customer).matches()) {
            throw new MalformedInputException("X-Customer is not a hexadecimal number");
        }
        Integer plan = planIndexes.get(headers.getOrDefault("x-plan", ""));
        if (plan == null) {
            throw new MalformedInputException("X-Plan names no plan of the settings");
        }
        double spread = number(headers, "x-spread", gateways);
        double timeoutMs = number(headers, TIME_LEFT, defaultTimeoutMs);
        if (spread < 1 || spread > gateways || timeoutMs < 1) {
            throw new MalformedInputException("X-Spread or X-Time-Left-Ms is out of range");
        }
        boolean retry = headers.getOrDefault("x-repeat", "0").equals("1");
        return new RequestHeaders(
                Long.parseUnsignedLong(customer, CUSTOMER_RADIX), plan, timeoutMs, (int) spread, retry);
    }

    private static double number(Map<String, String> headers, String name, double defaultValue)
            throws MalformedInputException {
        String text = headers.get(name);
        if (text == null) {
            return defaultValue;
        }
        if (!NUMBER.matcher(text).matches()) {
            throw new MalformedInputException("the header " + name + " is not a number");
        }
        return Double.parseDouble(text);
    }
}
