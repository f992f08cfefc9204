package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The expected service times of requests, and the kinds of admission decisions. */
class ServiceTimesTest {
    private static final DecisionSettings SETTINGS = new DecisionSettings(
            1,
            List.of(EngineScript.IDEMPOTENT),
            List.of(EngineScript.UNLIMITED),
            new AttemptLimits(1, false, false, true, 1000),
            new SlowStart(0.2, 10_000, 2000),
            new CounterSettings(true, 50),
            4,
            false,
            false,
            4);

    @Test
    void expectedTimeIsProportionalToUnits() {
        ServiceTimes times = new ServiceTimes(SETTINGS, 0.2, 0.5, 1.01);
        AdmissionRequest arrival = new AdmissionRequest(1, 0, 0, 5, 5000, 2, 1, false);
        OpenRequest request = new OpenRequest(100, arrival, SETTINGS, new PriorityTiers(SETTINGS, 3));
        assertEquals(400, times.expectedMs(request), 1e-9);
        times.answered(request, 100);
        assertEquals(160, times.expectedMs(request), 1e-9);
        times.timedOut(request, 200);
        assertEquals(480, times.expectedMs(request), 1e-9);
    }

    @Test
    void anAdmissionAdmitsHoldsOrRejects() {
        assertTrue(Admission.ADMIT.isAdmitted());
        assertTrue(Admission.HOLD.isHeld());
        assertFalse(Admission.HOLD.isAdmitted());
        Admission rejection = new Admission(20);
        assertTrue(rejection.isRejected());
        assertFalse(rejection.isHeld());
        assertFalse(rejection.isAdmitted());
    }
}
