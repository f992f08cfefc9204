package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Caps on the attempts in flight, shared by the gateways. */
class InFlightCapTest {
    @Test
    void openCapsAreSharedUntilTheTotalTellsOfRoom() {
        EngineScript s = new EngineScript(EngineScript.SAFE, new Plan(0, 0, 4, 0, 0, 1, 0, 1)).servers(10);
        s.request(1);
        s.counted(3);
        for (int i = 0; i < 5; i++) {
            s.request(1);
        }
        assertEquals(2, s.sent(), "others hold the rest");
        EngineScript alone = new EngineScript(EngineScript.SAFE, new Plan(0, 0, 4, 0, 0, 1, 0, 1)).servers(10);
        alone.request(1);
        alone.counted(0);
        for (int i = 0; i < 6; i++) {
            alone.request(1);
        }
        assertEquals(4, alone.sent(), "nobody else holds any");
    }

    @Test
    void aCapBesideARateIsHeldByShares() {
        EngineScript s = new EngineScript(EngineScript.SAFE, new Plan(50, 50, 4, 0, 0, 1, 0, 1)).servers(10);
        for (int i = 0; i < 5; i++) {
            s.request(1);
        }
        assertEquals(2, s.sent(), "half of the four");
    }
}
