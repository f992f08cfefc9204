package stonelb.gateway.platform;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import stonelb.io.MalformedInputException;

/** An id is reserved while its request is open, and for a bounded time and number after it may have been executed. */
class RequestIdsTest {
    private final RequestIds ids = new RequestIds();

    private void assertReserved(String id, double now) {
        assertThrows(MalformedInputException.class, () -> ids.open(id, now));
    }

    @Test
    void executedIdIsReservedUntilItsRetentionEnds() throws Exception {
        ids.open("a", 0);
        assertReserved("a", 1);
        ids.close("a", true, 1000);
        assertReserved("a", 1000 + RequestIds.RETENTION_MS - 1);
        ids.open("a", 1000 + RequestIds.RETENTION_MS);
        ids.close("a", false, 2000 + RequestIds.RETENTION_MS);
        ids.open("a", 2000 + RequestIds.RETENTION_MS);
    }

    @Test
    void oldestExecutedIdIsDroppedAtTheLimit() throws Exception {
        for (int i = 0; i <= RequestIds.MAX_EXECUTED; i++) {
            ids.open("id" + i, i);
            ids.close("id" + i, true, i);
        }
        double now = RequestIds.MAX_EXECUTED;
        assertReserved("id1", now);
        ids.open("id0", now);
    }
}
