package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The token bucket of local shares and ceilings. */
class TokenBucketTest {
    @Test
    void refillsUpToItsCapacity() {
        TokenBucket bucket = new TokenBucket(1);
        bucket.refill(2, 500, 10);
        assertEquals(2, bucket.tokens());
        bucket.refill(2, 60_000, 10);
        assertEquals(10, bucket.tokens());
        bucket.refill(2, 0, 4);
        assertEquals(4, bucket.tokens(), "the capacity was reduced");
    }

    @Test
    void onlyTakeLeavesADebt() {
        TokenBucket bucket = new TokenBucket(3);
        bucket.takeAvailable(5);
        assertEquals(0, bucket.tokens());
        bucket.take(5);
        assertEquals(-5, bucket.tokens());
    }

    @Test
    void limitToDropsTokensAboveTheLimit() {
        TokenBucket bucket = new TokenBucket(3);
        bucket.limitTo(2);
        assertEquals(2, bucket.tokens());
        bucket.limitTo(5);
        assertEquals(2, bucket.tokens());
    }
}
