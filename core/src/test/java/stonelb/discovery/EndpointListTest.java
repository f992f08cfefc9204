package stonelb.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.io.MalformedInputException;
import stonelb.standins.ObjectGraphSize;

/**
 * The start times that the endpoint list reports to the decision engine while the gateway's wall clock steps. The event
 * loop's clock never steps. Discovery reports start times either by the same wall clock, if it runs on the same
 * machine, or by a correct one.
 */
class EndpointListTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double[] CLOCK_STEPS_MS = {-HOUR_MS, 0, HOUR_MS};
    private static final double START_TIME_MS = 1_700_000_000_000.0;
    private static final InetSocketAddress DISCOVERY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final InetSocketAddress OTHER_DISCOVERY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 2);

    private double loopTimeMs = START_TIME_MS;
    private double wallClockErrorMs;
    private final Map<Long, Double> startTimesById = new HashMap<>();
    private final Map<String, Long> idsByName = new HashMap<>();
    private EndpointList endpointList = newEndpointList();

    private EndpointList newEndpointList() {
        EndpointStartTimes startTimes = new EndpointStartTimes(() -> loopTimeMs, this::wallTimeMs);
        return new EndpointList(List.of("a"), startTimes, this::endpointsChanged, new AddressListener() {
            @Override
            public void addressChanged(
                    long endpointId, String name, InetSocketAddress address, boolean ready, double startedAtMs) {
                idsByName.put(name, endpointId);
            }

            @Override
            public void retainOnly(Set<Long> endpointIds) {
                idsByName.values().retainAll(endpointIds);
            }
        });
    }

    private void endpointsChanged(EndpointListType type, List<Endpoint> endpoints) {
        endpoints.forEach(endpoint -> startTimesById.put(endpoint.id(), endpoint.startedAtMs()));
    }

    private void restartProcess() {
        wallClockErrorMs = 0;
        endpointList = newEndpointList();
    }

    private double wallTimeMs() {
        return loopTimeMs + wallClockErrorMs;
    }

    /** The start time that was last reported to the decision engine for the endpoint of that name. */
    private double startTimeOf(String name) {
        return startTimesById.get(idsByName.get(name));
    }

    /** The number of elements in all collections of the list, without those of this test. */
    private int stateSize() throws IllegalAccessException {
        startTimesById.clear();
        idsByName.clear();
        return ObjectGraphSize.of(endpointList);
    }

    private static String entry(String name, String status, double sinceMs) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:9\",\"status\":\"" + status + "\",\"since_ms\":"
                + (long) sinceMs + "}";
    }

    private static String readyEntry(String name, double sinceMs) {
        return entry(name, "in_service", sinceMs);
    }

    private static String listJson(boolean snapshot, String... entries) {
        return "{\"index\":1,\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    private void applySnapshot(InetSocketAddress discovery, String... entries) throws MalformedInputException {
        apply(listJson(true, entries), discovery);
    }

    private void applyDelta(String... entries) throws MalformedInputException {
        apply(listJson(false, entries), DISCOVERY);
    }

    private void apply(String list, InetSocketAddress discovery) throws MalformedInputException {
        endpointList.apply(list.getBytes(StandardCharsets.UTF_8), discovery);
    }

    /** A later step of the wall clock must not change the age, and thus the slow start, of a known endpoint. */
    @Test
    void startTimeIsConvertedOnceAndUnaffectedByLaterClockSteps() throws Exception {
        for (double stepMs : CLOCK_STEPS_MS) {
            restartProcess();
            wallClockErrorMs = stepMs;
            double sinceMs = wallTimeMs() - 400;
            double expectedStartMs = loopTimeMs - 400;
            applySnapshot(DISCOVERY, readyEntry("s", sinceMs));
            assertEquals(expectedStartMs, startTimeOf("s"), "the first list after a step of " + stepMs);
            wallClockErrorMs -= stepMs;
            loopTimeMs += 1000;
            applyDelta(readyEntry("s", sinceMs));
            assertEquals(expectedStartMs, startTimeOf("s"), "a delta after a step back of " + stepMs);
            loopTimeMs += 1000;
            applySnapshot(DISCOVERY, readyEntry("s", sinceMs));
            assertEquals(expectedStartMs, startTimeOf("s"), "a snapshot after a step back of " + stepMs);
            applySnapshot(OTHER_DISCOVERY, readyEntry("s", sinceMs));
            assertEquals(expectedStartMs, startTimeOf("s"), "another discovery service after a step back of " + stepMs);
        }
    }

    /**
     * A step of the wall clock must not make a new endpoint appear to have started long ago, or to start in the future.
     */
    @Test
    void startTimeOfNewEndpointIsNeitherBeforePreviousListNorInFuture() throws Exception {
        for (double stepBeforeMs : CLOCK_STEPS_MS) {
            for (double stepBetweenMs : CLOCK_STEPS_MS) {
                for (boolean sameClock : new boolean[] {false, true}) {
                    assertStartTimesAfterClockSteps(stepBeforeMs, stepBetweenMs, sameClock);
                }
            }
        }
    }

    private void assertStartTimesAfterClockSteps(double stepBeforeMs, double stepBetweenMs, boolean sameClock)
            throws Exception {
        String description = "steps of " + stepBeforeMs + " before and " + stepBetweenMs
                + " between the lists, discovery on " + (sameClock ? "the same" : "another") + " clock: ";
        restartProcess();
        wallClockErrorMs += stepBeforeMs;
        applySnapshot(DISCOVERY, readyEntry("restarted", discoveryTimeMs(sameClock) - 50_000));
        double previousListAtMs = loopTimeMs;
        loopTimeMs += 2000;
        wallClockErrorMs += stepBetweenMs;
        double discoveryTimeMs = discoveryTimeMs(sameClock);
        applyDelta(readyEntry("new", discoveryTimeMs - 500), readyEntry("restarted", discoveryTimeMs - 700));
        for (String name : List.of("new", "restarted")) {
            double startMs = startTimeOf(name);
            assertTrue(startMs >= previousListAtMs, description + name + " starts " + (startMs - previousListAtMs));
            assertTrue(startMs <= loopTimeMs, description + name + " starts in " + (startMs - loopTimeMs));
        }
        if (discoveryTimeMs == wallTimeMs()) {
            assertEquals(loopTimeMs - 500, startTimeOf("new"), description + "their clocks agree");
            assertEquals(loopTimeMs - 700, startTimeOf("restarted"), description + "their clocks agree");
        }
    }

    private double discoveryTimeMs(boolean sameClock) {
        return sameClock ? wallTimeMs() : loopTimeMs;
    }

    /**
     * The engine recognizes a restart by a later start time, but the reported one may be earlier or almost the same.
     */
    @Test
    void changedStartTimeIsReportedAsLaterTime() throws Exception {
        for (double sinceChangeMs : new double[] {-HOUR_MS, -1, 1, HOUR_MS}) {
            for (InetSocketAddress discovery : List.of(DISCOVERY, OTHER_DISCOVERY)) {
                restartProcess();
                double sinceMs = loopTimeMs - 10;
                applySnapshot(DISCOVERY, readyEntry("s", sinceMs));
                double startMs = startTimeOf("s");
                applySnapshot(discovery, entry("s", "terminating", sinceMs + sinceChangeMs));
                applySnapshot(discovery, readyEntry("s", sinceMs + sinceChangeMs));
                assertTrue(startTimeOf("s") > startMs, "since_ms changed by " + sinceChangeMs + " from " + discovery);
                assertTrue(
                        startTimeOf("s") < loopTimeMs + 1, "since_ms changed by " + sinceChangeMs + ", starts later");
            }
        }
    }

    /** Without an earlier response of the same service, there is no lower bound of the start times. */
    @Test
    void startTimesInFirstListOfServiceHaveNoLowerBound() throws Exception {
        endpointList.loadCached(
                new Gson().fromJson(listJson(true, readyEntry("cached", loopTimeMs - 60_000)), JsonObject.class));
        assertEquals(loopTimeMs - 60_000, startTimeOf("cached"));
        loopTimeMs += 300;
        applyDelta(readyEntry("first", loopTimeMs - 70_000));
        assertEquals(loopTimeMs - 70_000, startTimeOf("first"), "the age of the cached list is unknown");
        loopTimeMs += 300;
        applySnapshot(OTHER_DISCOVERY, readyEntry("migrated", loopTimeMs - 80_000));
        assertEquals(loopTimeMs - 80_000, startTimeOf("migrated"), "the other service may have listed it before");
        double lastListAtMs = loopTimeMs;
        loopTimeMs += 300;
        applySnapshot(OTHER_DISCOVERY, readyEntry("next", loopTimeMs - 90_000));
        assertEquals(lastListAtMs, startTimeOf("next"), "the second list of that service");
    }

    /**
     * Malformed responses during an outage of discovery must not move the lower bound, which is the last applied list.
     */
    @Test
    void malformedListDoesNotAffectStartTimes() throws Exception {
        applySnapshot(DISCOVERY, readyEntry("s", loopTimeMs - 60_000));
        double startMs = startTimeOf("s");
        double lastListAtMs = loopTimeMs;
        loopTimeMs += 20_000;
        String malformedList = listJson(true, readyEntry("s", loopTimeMs), readyEntry("new", 5), "{\"name\":\"x\"}");
        assertThrows(MalformedInputException.class, () -> apply(malformedList, DISCOVERY));
        assertThrows(MalformedInputException.class, () -> apply(malformedList, OTHER_DISCOVERY));
        loopTimeMs += 20_000;
        applySnapshot(DISCOVERY, readyEntry("s", loopTimeMs - 100_000), readyEntry("new", 5));
        assertEquals(lastListAtMs, startTimeOf("new"), "it may have started during the outage");
        assertEquals(startMs, startTimeOf("s"), "its start did not change");
    }

    @Test
    void missingStartTimeCountsAsLongAgo() throws Exception {
        String withoutSince = "{\"name\":\"s\",\"address\":\"127.0.0.1:9\",\"status\":\"in_service\"}";
        applySnapshot(DISCOVERY, readyEntry("zero", 0), withoutSince);
        applyDelta(readyEntry("new-zero", 0));
        for (String name : List.of("zero", "s", "new-zero")) {
            assertEquals(0, startTimeOf(name), name);
        }
        loopTimeMs += 1000;
        applyDelta(readyEntry("s", loopTimeMs - 100));
        double startMs = startTimeOf("s");
        assertEquals(loopTimeMs - 100, startMs, "a restart");
        loopTimeMs += 1000;
        applyDelta(withoutSince);
        assertEquals(startMs, startTimeOf("s"), "an entry without a start time does not indicate a restart");
        applyDelta(readyEntry("s", loopTimeMs - 1100));
        assertEquals(startMs, startTimeOf("s"), "no restart in between");
    }

    @Test
    void removedNamesAreDiscarded() throws Exception {
        applySnapshot(DISCOVERY, readyEntry("s-0", loopTimeMs));
        int size = stateSize();
        for (int i = 1; i <= 200; i++) {
            loopTimeMs += 1000;
            String addedEntry = readyEntry("s-" + i, loopTimeMs - 100);
            if (i % 2 == 0) {
                applySnapshot(DISCOVERY, addedEntry);
            } else {
                applyDelta(addedEntry, entry("s-" + (i - 1), "terminated", 0));
            }
        }
        assertEquals(size, stateSize());
        double lastListAtMs = loopTimeMs;
        loopTimeMs += 1000;
        applyDelta(readyEntry("s-0", START_TIME_MS));
        assertEquals(lastListAtMs, startTimeOf("s-0"), "a name that is listed again is a new process");
    }
}
