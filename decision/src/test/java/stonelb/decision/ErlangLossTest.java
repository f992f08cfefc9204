package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Erlang's loss formula against worked values. */
class ErlangLossTest {
    @Test
    void matchesWorkedValues() {
        assertEquals(0.5, ErlangLoss.table(1, 1)[1], 1e-12); // 1 / 2
        assertEquals(0.4, ErlangLoss.table(2, 2)[2], 1e-12); // 2 / (1 + 2 + 2)
        assertEquals(0.018, ErlangLoss.table(10, 5)[10], 5e-4); // published tables: 5 erlangs on 10 lines
        assertEquals(1, ErlangLoss.table(0, 3)[0], 0);
        assertEquals(0, ErlangLoss.table(4, 0)[4], 0);
    }

    @Test
    void oneGroupHasTheLossOfTheTable() {
        assertEquals(ErlangLoss.table(10, 5)[10], ErlangLoss.of(10, 5), 0);
    }
}
