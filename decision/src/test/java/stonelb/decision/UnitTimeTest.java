package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The time per unit of work. */
class UnitTimeTest {
    @Test
    void meanIsTimeSpentPerUnitAnswered() {
        UnitTime time = new UnitTime(100, 0.5, 2);
        time.add(150, 3);
        assertEquals(200 / 3.5, time.meanMs(), 1e-12);
        assertEquals(3.5, time.answeredUnits());
        time.add(100, 0);
        assertEquals(200 / 1.75, time.meanMs(), 1e-12);
    }

    @Test
    void uncongestedTimeFallsAtOnceAndGrowsSlowly() {
        UnitTime time = new UnitTime(100, 0, 1.01);
        time.add(50, 1);
        assertEquals(50, time.uncongestedMs());
        time.add(500, 1);
        assertEquals(50.5, time.uncongestedMs(), 1e-12);
    }
}
