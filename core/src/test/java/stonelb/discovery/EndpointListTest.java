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
 * The starts of endpoints that the decision engine learns of, where the wall clock of the gateway steps. The loop's clock
 * never does. Discovery reports starts either by that wall clock, where it runs on the same machine, or by one that is right.
 */
class EndpointListTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double[] CLOCK_STEPS_MS = {-HOUR_MS, 0, HOUR_MS};
    private static final double START_TIME_MS = 1_700_000_000_000.0;
    private static final InetSocketAddress DISCOVERY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final InetSocketAddress OTHER_DISCOVERY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 2);

    private double loopTimeMs = START_TIME_MS;
    private double wallClockErrorMs;
    private final Map<Long, Double> startsById = new HashMap<>();
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
        endpoints.forEach(endpoint -> startsById.put(endpoint.id(), endpoint.startedAtMs()));
    }

    private void startProcess() {
        wallClockErrorMs = 0;
        endpointList = newEndpointList();
    }

    private double wallTimeMs() {
        return loopTimeMs + wallClockErrorMs;
    }

    /** The start of the endpoint of that name, as it was last told to the decision engine. */
    private double startOf(String name) {
        return startsById.get(idsByName.get(name));
    }

    /** The elements of all collections, without those that this test collected. */
    private int stateSize() throws IllegalAccessException {
        startsById.clear();
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

    /** The age is read once; what the wall clock does afterwards neither cools nor warms an endpoint. */
    @Test
    void startIsTheAgeBeforeNowAndIsKeptWhileTheWallClockSteps() throws Exception {
        for (double stepMs : CLOCK_STEPS_MS) {
            startProcess();
            wallClockErrorMs = stepMs;
            double sinceMs = wallTimeMs() - 400;
            double expectedStartMs = loopTimeMs - 400;
            applySnapshot(DISCOVERY, readyEntry("s", sinceMs));
            assertEquals(expectedStartMs, startOf("s"), "the first list after a step of " + stepMs);
            wallClockErrorMs -= stepMs;
            loopTimeMs += 1000;
            applyDelta(readyEntry("s", sinceMs));
            assertEquals(expectedStartMs, startOf("s"), "a delta after a step back of " + stepMs);
            loopTimeMs += 1000;
            applySnapshot(DISCOVERY, readyEntry("s", sinceMs));
            assertEquals(expectedStartMs, startOf("s"), "a snapshot after a step back of " + stepMs);
            applySnapshot(OTHER_DISCOVERY, readyEntry("s", sinceMs));
            assertEquals(expectedStartMs, startOf("s"), "another discovery service after a step back of " + stepMs);
        }
    }

    /** A cold endpoint must not look warm, nor one that started just now as if it started in an hour. */
    @Test
    void endpointOfAListInUseIsNoOlderThanThePreviousListWhateverTheWallClockSays() throws Exception {
        for (double stepBeforeMs : CLOCK_STEPS_MS) {
            for (double stepBetweenMs : CLOCK_STEPS_MS) {
                for (boolean sameClock : new boolean[] {false, true}) {
                    startAfterClockSteps(stepBeforeMs, stepBetweenMs, sameClock);
                }
            }
        }
    }

    private void startAfterClockSteps(double stepBeforeMs, double stepBetweenMs, boolean sameClock) throws Exception {
        String steps = "steps of " + stepBeforeMs + " before and " + stepBetweenMs + " between the lists, discovery on "
                + (sameClock ? "the same" : "another") + " clock: ";
        startProcess();
        wallClockErrorMs += stepBeforeMs;
        applySnapshot(DISCOVERY, readyEntry("restarted", discoveryTimeMs(sameClock) - 50_000));
        double previousListAtMs = loopTimeMs;
        loopTimeMs += 2000;
        wallClockErrorMs += stepBetweenMs;
        double discoveryTimeMs = discoveryTimeMs(sameClock);
        applyDelta(readyEntry("new", discoveryTimeMs - 500), readyEntry("restarted", discoveryTimeMs - 700));
        for (String name : List.of("new", "restarted")) {
            double startMs = startOf(name);
            assertTrue(startMs >= previousListAtMs, steps + name + " starts " + (startMs - previousListAtMs));
            assertTrue(startMs <= loopTimeMs, steps + name + " starts in " + (startMs - loopTimeMs));
        }
        if (discoveryTimeMs == wallTimeMs()) {
            assertEquals(loopTimeMs - 500, startOf("new"), steps + "their clocks agree");
            assertEquals(loopTimeMs - 700, startOf("restarted"), steps + "their clocks agree");
        }
    }

    private double discoveryTimeMs(boolean sameClock) {
        return sameClock ? wallTimeMs() : loopTimeMs;
    }

    /** The engine takes a later start for a restart; discovery's time of it may have gone back, or hardly moved. */
    @Test
    void changedStartReachesTheEngineAsALaterOne() throws Exception {
        for (double sinceChangeMs : new double[] {-HOUR_MS, -1, 1, HOUR_MS}) {
            for (InetSocketAddress discovery : List.of(DISCOVERY, OTHER_DISCOVERY)) {
                startProcess();
                double sinceMs = loopTimeMs - 10;
                applySnapshot(DISCOVERY, readyEntry("s", sinceMs));
                double startMs = startOf("s");
                applySnapshot(discovery, entry("s", "terminating", sinceMs + sinceChangeMs));
                applySnapshot(discovery, readyEntry("s", sinceMs + sinceChangeMs));
                assertTrue(startOf("s") > startMs, "since_ms changed by " + sinceChangeMs + " from " + discovery);
                assertTrue(startOf("s") < loopTimeMs + 1, "since_ms changed by " + sinceChangeMs + ", starts later");
            }
        }
    }

    /** There is no earlier response that could tell that an endpoint was not there. */
    @Test
    void endpointsOfAFirstListMayBeOld() throws Exception {
        endpointList.loadCached(
                new Gson().fromJson(listJson(true, readyEntry("cached", loopTimeMs - 60_000)), JsonObject.class));
        assertEquals(loopTimeMs - 60_000, startOf("cached"));
        loopTimeMs += 300;
        applyDelta(readyEntry("first", loopTimeMs - 70_000));
        assertEquals(loopTimeMs - 70_000, startOf("first"), "the cached list is of an unknown age");
        loopTimeMs += 300;
        applySnapshot(OTHER_DISCOVERY, readyEntry("migrated", loopTimeMs - 80_000));
        assertEquals(loopTimeMs - 80_000, startOf("migrated"), "another service may have known it for long");
        double lastListAtMs = loopTimeMs;
        loopTimeMs += 300;
        applySnapshot(OTHER_DISCOVERY, readyEntry("next", loopTimeMs - 90_000));
        assertEquals(lastListAtMs, startOf("next"), "the second list of that service");
    }

    /** An outage of discovery, with responses that can't be read, leaves the last applied one as what is known. */
    @Test
    void listThatIsNotAppliedTellsNothingOfStarts() throws Exception {
        applySnapshot(DISCOVERY, readyEntry("s", loopTimeMs - 60_000));
        double startMs = startOf("s");
        double lastListAtMs = loopTimeMs;
        loopTimeMs += 20_000;
        String malformedList = listJson(true, readyEntry("s", loopTimeMs), readyEntry("new", 5), "{\"name\":\"x\"}");
        assertThrows(MalformedInputException.class, () -> apply(malformedList, DISCOVERY));
        assertThrows(MalformedInputException.class, () -> apply(malformedList, OTHER_DISCOVERY));
        loopTimeMs += 20_000;
        applySnapshot(DISCOVERY, readyEntry("s", loopTimeMs - 100_000), readyEntry("new", 5));
        assertEquals(lastListAtMs, startOf("new"), "it may have started in the outage");
        assertEquals(startMs, startOf("s"), "its start did not change");
    }

    @Test
    void endpointWithoutAStartStartedLongAgo() throws Exception {
        String withoutSince = "{\"name\":\"s\",\"address\":\"127.0.0.1:9\",\"status\":\"in_service\"}";
        applySnapshot(DISCOVERY, readyEntry("zero", 0), withoutSince);
        applyDelta(readyEntry("new-zero", 0));
        for (String name : List.of("zero", "s", "new-zero")) {
            assertEquals(0, startOf(name), name);
        }
        loopTimeMs += 1000;
        applyDelta(readyEntry("s", loopTimeMs - 100));
        double startMs = startOf("s");
        assertEquals(loopTimeMs - 100, startMs, "a restart");
        loopTimeMs += 1000;
        applyDelta(withoutSince);
        assertEquals(startMs, startOf("s"), "an entry without a start does not tell of one");
        applyDelta(readyEntry("s", loopTimeMs - 1100));
        assertEquals(startMs, startOf("s"), "no restart in between");
    }

    @Test
    void removedNamesAreForgotten() throws Exception {
        applySnapshot(DISCOVERY, readyEntry("s-0", loopTimeMs));
        int size = stateSize();
        for (int i = 1; i <= 200; i++) {
            loopTimeMs += 1000;
            String added = readyEntry("s-" + i, loopTimeMs - 100);
            if (i % 2 == 0) {
                applySnapshot(DISCOVERY, added);
            } else {
                applyDelta(added, entry("s-" + (i - 1), "terminated", 0));
            }
        }
        assertEquals(size, stateSize());
        double lastListAtMs = loopTimeMs;
        loopTimeMs += 1000;
        applyDelta(readyEntry("s-0", START_TIME_MS));
        assertEquals(lastListAtMs, startOf("s-0"), "one that comes back is a new process");
    }
}
