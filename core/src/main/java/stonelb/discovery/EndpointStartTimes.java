package stonelb.discovery;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * When the listed endpoints started, on the event loop's clock. Discovery reports starts in Unix time, which this process
 * knows only from its wall clock; that one may step at any time, while the loop's clock never does.
 *
 * <p>A reported start is therefore converted once, when it is first listed: the age of the endpoint is read off the wall
 * clock, and its start is that age before the loop's present time. It is kept until another start is reported, so that a
 * later step of the wall clock changes nothing.
 *
 * <p>A wall clock that is wrong gives a wrong age, which is bounded from both sides: an endpoint has not started in the
 * future, nor before the previous response of the same discovery service, which did not list it with that start.
 */
public final class EndpointStartTimes {
    /** The start of an endpoint that started long ago, as discovery reports it and as the decision engine takes it. */
    private static final double LONG_AGO = 0;

    /** A start as discovery reports it, in Unix milliseconds, and on the loop's clock. */
    private record KnownStart(double reportedMs, double startedAtMs) {}

    private final DoubleSupplier loopClock;
    private final DoubleSupplier wallClock;
    private final Map<String, KnownStart> startsByName = new HashMap<>();

    /** The discovery service whose response was applied last, or null. */
    private InetSocketAddress lastSource;

    private double listAppliedAtMs;
    private double wallTimeOfListMs;

    /** No endpoint with a start that is new in the present list started earlier. */
    private double earliestNewStartMs = LONG_AGO;

    /**
     * Knows of no endpoint yet.
     *
     * @param loopClock the event loop's clock, in milliseconds
     * @param wallClock Unix time in milliseconds, which may step
     */
    public EndpointStartTimes(DoubleSupplier loopClock, DoubleSupplier wallClock) {
        this.loopClock = loopClock;
        this.wallClock = wallClock;
    }

    /** Creates one that reads the system's wall clock. */
    public static EndpointStartTimes withSystemClock(DoubleSupplier loopClock) {
        return new EndpointStartTimes(loopClock, System::currentTimeMillis);
    }

    /**
     * Begins to apply a list that was in use before this process started. It may be of any age, so that it tells nothing
     * of endpoints that it does not name.
     */
    void beginCachedList() {
        readClocks();
        earliestNewStartMs = LONG_AGO;
    }

    /**
     * Begins to apply a response, complete or a delta.
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
     * Takes the start that an entry of the present list reports.
     *
     * @param name the endpoint's name
     * @param reportedMs the start in Unix milliseconds; 0 for long ago, which does not tell of a restart
     * @return the start on the loop's clock, 0 for long ago; later than before exactly if the endpoint was restarted
     */
    double startReported(String name, double reportedMs) {
        KnownStart known = startsByName.get(name);
        if (!(reportedMs > LONG_AGO)) { // also where it is not a number
            return known == null ? LONG_AGO : known.startedAtMs();
        }
        if (known != null && known.reportedMs() == reportedMs) {
            return known.startedAtMs();
        }
        double startedAtMs = newStart(reportedMs);
        if (known != null) {
            startedAtMs = Math.max(startedAtMs, Math.nextUp(known.startedAtMs()));
        }
        startsByName.put(name, new KnownStart(reportedMs, startedAtMs));
        return startedAtMs;
    }

    private double newStart(double reportedMs) {
        double ageMs = Math.max(0, wallTimeOfListMs - reportedMs);
        return Math.max(listAppliedAtMs - ageMs, earliestNewStartMs);
    }

    /** Forgets all endpoints but these. */
    void retainOnly(Collection<String> names) {
        startsByName.keySet().retainAll(names);
    }
}
