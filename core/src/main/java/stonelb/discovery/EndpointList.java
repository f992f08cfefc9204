package stonelb.discovery;

import com.google.gson.JsonObject;
import java.io.ByteArrayInputStream;
import java.io.InputStreamReader;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.discovery.EndpointListParser.ListEntry;
import stonelb.discovery.EndpointListParser.ParsedList;
import stonelb.io.MalformedInputException;

/**
 * The endpoint list of the discovery service. It converts its entries to {@link Endpoint}s, names to ids and start
 * times from Unix time to the event loop's clock, and informs its listeners of each update. A list with a malformed
 * entry is not applied at all.
 */
public final class EndpointList {
    /** Zone names by index: those of the settings first, then others in the order in which lists name them. */
    private final List<String> zones;

    private final EndpointStartTimes startTimes;
    private final EndpointListener endpointListener;
    private final AddressListener addressListener;

    /** Ids of the endpoints that have not been removed. */
    private final Map<String, Long> idsByName = new HashMap<>();

    private long lastId;
    private long version = EndpointListParser.NO_VERSION;

    /**
     * Creates an empty list.
     *
     * @param zones the zones of the settings, the gateway's own first
     * @param startTimes converts the start times of endpoints; not shared with another list
     */
    public EndpointList(
            List<String> zones,
            EndpointStartTimes startTimes,
            EndpointListener endpointListener,
            AddressListener addressListener) {
        this.zones = new ArrayList<>(zones);
        this.startTimes = startTimes;
        this.endpointListener = endpointListener;
        this.addressListener = addressListener;
    }

    /**
     * Applies the list that was in use before this process started; it is used until the discovery service responds.
     *
     * @throws MalformedInputException if the list is malformed
     */
    public void loadCached(JsonObject list) throws MalformedInputException {
        ParsedList parsed = EndpointListParser.parse(new StringReader(list.toString()));
        startTimes.beginCachedList();
        apply(parsed, EndpointListType.CACHED);
    }

    /** Whether no endpoint is listed. */
    public boolean isEmpty() {
        return idsByName.isEmpty();
    }

    /** The version of the list in use, -1 for none. */
    public long version() {
        return version;
    }

    /**
     * Applies a response of the discovery service.
     *
     * @param source address of the service
     * @return the version of the list; -1 if the next response has to be complete, since these changes are of a service
     *     that was restarted and counts versions anew
     * @throws MalformedInputException if the response is malformed; nothing is changed then
     */
    long apply(byte[] body, InetSocketAddress source) throws MalformedInputException {
        ParsedList parsed =
                EndpointListParser.parse(new InputStreamReader(new ByteArrayInputStream(body), StandardCharsets.UTF_8));
        startTimes.beginResponse(source);
        boolean restarted = !parsed.snapshot() && parsed.version() < version;
        apply(parsed, parsed.snapshot() ? EndpointListType.SNAPSHOT : EndpointListType.DELTA);
        version = restarted ? EndpointListParser.NO_VERSION : version;
        return version;
    }

    /** Applies a list and informs the listeners, of each address before the endpoints. */
    private void apply(ParsedList list, EndpointListType type) {
        version = list.version();
        List<Endpoint> endpoints = new ArrayList<>();
        for (ListEntry entry : list.entries()) {
            endpoints.add(applyEntry(entry));
        }
        discardRemoved(endpoints);
        if (type != EndpointListType.DELTA) {
            Set<Long> listedIds = endpoints.stream().map(Endpoint::id).collect(Collectors.toSet());
            idsByName.values().retainAll(listedIds);
            addressListener.retainOnly(listedIds);
        }
        startTimes.retainOnly(idsByName.keySet());
        if (!endpoints.isEmpty() || type != EndpointListType.DELTA) {
            endpointListener.endpointsChanged(type, endpoints);
        }
    }

    private Endpoint applyEntry(ListEntry entry) {
        long id = idsByName.computeIfAbsent(entry.name(), unused -> ++lastId);
        double startedAtMs = startTimes.resolveStartTime(entry.name(), entry.sinceMs());
        if (entry.address() != null) {
            boolean ready = entry.state() == EndpointState.READY;
            addressListener.addressChanged(id, entry.name(), entry.address(), ready, startedAtMs);
        }
        return new Endpoint(id, entry.state(), startedAtMs, entry.weight(), entry.group(), zoneIndex(entry.zone()));
    }

    /**
     * Discards the names of removed endpoints, which would accumulate. A name that is listed again is a new process and
     * gets a new id.
     */
    private void discardRemoved(List<Endpoint> endpoints) {
        idsByName
                .values()
                .removeAll(endpoints.stream()
                        .filter(endpoint -> endpoint.state() == EndpointState.REMOVED)
                        .map(Endpoint::id)
                        .toList());
    }

    /**
     * The index of a zone. A zone that the settings do not name gets a new index; an endpoint without a zone gets 0.
     */
    private int zoneIndex(String name) {
        if (name != null && !zones.contains(name)) {
            zones.add(name);
        }
        return Math.max(0, zones.indexOf(name));
    }

    /** The name of the zone with that index, or an empty string if there is none. */
    public String zoneName(int index) {
        return index < zones.size() ? zones.get(index) : "";
    }
}
