package stonelb.decision;

/** A bucket of tokens whose rate and capacity may change from one refill to the next. */
final class TokenBucket {
    private static final double MS_PER_SECOND = 1000;

    private double tokens;

    TokenBucket(double tokens) {
        this.tokens = tokens;
    }

    double tokens() {
        return tokens;
    }

    void refill(double tokensPerSecond, double elapsedMs, double capacity) {
        tokens = Math.min(capacity, tokens + tokensPerSecond * elapsedMs / MS_PER_SECOND);
    }

    /** Takes tokens even if there are too few: the rest becomes a debt. */
    void take(double amount) {
        tokens -= amount;
    }

    /** Takes up to this many tokens, as far as there are any. */
    void takeAvailable(double amount) {
        tokens = Math.max(0, tokens - amount);
    }

    /** Drops the tokens in excess of this number. */
    void limitTo(double maxTokens) {
        tokens = Math.min(tokens, maxTokens);
    }
}
