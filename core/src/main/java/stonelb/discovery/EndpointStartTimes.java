package stonelb.discovery;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * The start times of the listed endpoints on the event loop's clock. Discovery reports start times in Unix time, which
 * this process knows only from its wall clock. The wall clock may step at any time; the event loop's clock never steps.
 *
 * <p>A reported start time is therefore converted once, when it is first listed: the age of the endpoint is computed
 * from the wall clock and subtracted from the loop's current time. The result is kept until a different start time is
 * reported, so that later steps of the wall clock have no effect.
 *
 * <p>A wrong wall clock gives a wrong age, so the result is bounded on both sides: an endpoint has not started in the
 * future, nor before the previous response of the same discovery service, which did not list it with that start time.
 */
public final class EndpointStartTimes {
    /** The start time of an endpoint that started long ago, both in lists and for the decision engine. */
    private static final double LONG_AGO = 0;

    /** A start time as discovery reports it, in Unix milliseconds, and on the loop's clock. */
    private record StartTime(double reportedMs, double startedAtMs) {}

    private final DoubleSupplier loopClock;
    private final DoubleSupplier wallClock;
    private final Map<String, StartTime> startTimesByName = new HashMap<>();

    /** The discovery service whose response was applied last, or null. */
    private InetSocketAddress lastSource;

    private double listAppliedAtMs;
    private double wallTimeOfListMs;

    /** Lower bound of the start times that the current list reports for the first time. */
    private double earliestNewStartMs = LONG_AGO;

    /**
     * Creates an instance without endpoints.
     *
     * @param loopClock the event loop's clock, in milliseconds
     * @param wallClock Unix time in milliseconds, which may step
     */
    public EndpointStartTimes(DoubleSupplier loopClock, DoubleSupplier wallClock) {
        this.loopClock = loopClock;
        this.wallClock = wallClock;
    }

    /** Creates an instance that uses the system's wall clock. */
    public static EndpointStartTimes withSystemClock(DoubleSupplier loopClock) {
        return new EndpointStartTimes(loopClock, System::currentTimeMillis);
    }

    /**
     * Prepares for a list that was in use before this process started. Its age is unknown, so that an endpoint that it
     * does not name may have started at any time.
     */
    void beginCachedList() {
        readClocks();
        earliestNewStartMs = LONG_AGO;
    }

    /**
     * Prepares for a response, which is a complete list or a delta.
     *
     * @param source address of the discovery service
     */
    void beginResponse(InetSocketAddress source) {
        double previousListAppliedAtMs = listAppliedAtMs;
        readClocks();
        earliestNewStartMs = source.equals(lastSource) ? previousListAppliedAtMs : LONG_AGO;
        lastSource = source;
    }

    private void readClocks() {
        listAppliedAtMs = loopClock.getAsDouble();
        wallTimeOfListMs = wallClock.getAsDouble();
    }

    /**
     * Converts the start time that an entry of the current list reports, unless it is already known.
     *
     * @param name the endpoint's name
     * @param reportedMs the start time in Unix milliseconds; 0 for long ago, which does not indicate a restart
     * @return the start time on the loop's clock, 0 for long ago; later than before exactly if the endpoint was
     *     restarted
     */
    double resolveStartTime(String name, double reportedMs) {
        StartTime known = startTimesByName.get(name);
        if (!(reportedMs > LONG_AGO)) { // also true for NaN
            return known == null ? LONG_AGO : known.startedAtMs();
        }
        if (known != null && known.reportedMs() == reportedMs) {
            return known.startedAtMs();
        }
        double startedAtMs = convertStartTime(reportedMs);
        if (known != null) {
            startedAtMs = Math.max(startedAtMs, Math.nextUp(known.startedAtMs()));
        }
        startTimesByName.put(name, new StartTime(reportedMs, startedAtMs));
        return startedAtMs;
    }

    private double convertStartTime(double reportedMs) {
        double ageMs = Math.max(0, wallTimeOfListMs - reportedMs);
        return Math.max(listAppliedAtMs - ageMs, earliestNewStartMs);
    }

    /** Discards all endpoints except these. */
    void retainOnly(Collection<String> names) {
        startTimesByName.keySet().retainAll(names);
    }
}
