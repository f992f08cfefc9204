package stonelb.counter;

import java.math.BigDecimal;
import java.math.RoundingMode;
import stonelb.core.TimerCallback;
import stonelb.decision.Outcome;

/** One call to the quota counter, whose result is reported once. As a timer callback it is the call's timeout. */
final class CounterCall implements TimerCallback {
    /**
     * Decimal places of an amount; the decision engine uses the same precision for the amounts that it counts as added.
     */
    private static final int AMOUNT_SCALE = 7;

    private static final double MAX_PLAIN_INTEGER = 1e9;
    private static final long MIN_EXPIRY_MS = 1;
    private static final long MAX_EXPIRY_MS = 60_000;

    private final CounterClient client;
    private final long name;
    private final double amount;
    private final double expiryMs;
    private final double startedAt;
    private boolean reported;

    /** The connection on which it was sent, or null. */
    private CounterConnection connection;

    CounterCall(CounterClient client, long name, double amount, double expiryMs, double startedAt) {
        this.client = client;
        this.name = name;
        this.amount = amount;
        this.expiryMs = expiryMs;
        this.startedAt = startedAt;
    }

    long name() {
        return name;
    }

    double startedAt() {
        return startedAt;
    }

    boolean isReported() {
        return reported;
    }

    void sentOn(CounterConnection newConnection) {
        connection = newConnection;
    }

    String path() {
        long boundedExpiryMs = Math.max(MIN_EXPIRY_MS, Math.min(MAX_EXPIRY_MS, Math.round(expiryMs)));
        return "/counters/" + Long.toHexString(name) + "?by=" + formatAmount(amount) + "&expire_ms=" + boundedExpiryMs;
    }

    private static String formatAmount(double amount) {
        if (amount == Math.rint(amount) && Math.abs(amount) < MAX_PLAIN_INTEGER) {
            return Long.toString((long) amount);
        }
        return new BigDecimal(amount)
                .setScale(AMOUNT_SCALE, RoundingMode.HALF_EVEN)
                .stripTrailingZeros()
                .toPlainString();
    }

    /** Reports the result; results after the first one are ignored. */
    void report(Outcome outcome, double total) {
        if (!reported) {
            reported = true;
            client.report(this, outcome, total);
        }
    }

    /** A call that was sent may have been added to the counter; one that was not sent was not. */
    @Override
    public void onTimer(double now, long token) {
        if (!reported) {
            report(connection == null ? Outcome.CONNECT_FAILED : connection.handleCallTimeout(), 0);
        }
    }
}
