package stonelb.discovery;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.config.JsonValues;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.io.MalformedInputException;

/**
 * The endpoint list of the discovery service. It converts JSON entries to {@link Endpoint}s, names to ids and start
 * times from Unix time to the event loop's clock, and informs its listeners of each update. A list with a malformed
 * entry is not applied at all.
 */
public final class EndpointList {
    private static final long NO_VERSION = -1;

    /**
     * An entry of a received list.
     *
     * @param address null if the endpoint is removed and its address left out
     * @param sinceMs when the endpoint started, in Unix milliseconds; 0 for long ago
     * @param zone null for none
     */
    private record ListEntry(
            String name,
            EndpointState state,
            InetSocketAddress address,
            double sinceMs,
            double weight,
            int group,
            String zone) {}

    /** A received list. */
    private record ParsedList(long version, List<ListEntry> entries) {}

    /** Zone names by index: those of the settings first, then others in the order in which lists name them. */
    private final List<String> zones;

    private final EndpointStartTimes startTimes;
    private final EndpointListener endpointListener;
    private final AddressListener addressListener;

    /** Ids of the endpoints that have not been removed. */
    private final Map<String, Long> idsByName = new HashMap<>();

    private long lastId;
    private long version = NO_VERSION;

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
        ParsedList parsed = parse(list);
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
     * @return the version of the list
     * @throws MalformedInputException if the response is malformed; nothing is changed then
     */
    long apply(byte[] body, InetSocketAddress source) throws MalformedInputException {
        JsonObject list = parseJson(body);
        ParsedList parsed = parse(list);
        startTimes.beginResponse(source);
        apply(parsed, isSnapshot(list) ? EndpointListType.SNAPSHOT : EndpointListType.DELTA);
        return version;
    }

    private static boolean isSnapshot(JsonObject list) {
        JsonElement snapshot = list.get("snapshot");
        return snapshot != null && snapshot.isJsonPrimitive() && snapshot.getAsBoolean();
    }

    private static JsonObject parseJson(byte[] body) throws MalformedInputException {
        try {
            JsonObject list = new Gson().fromJson(new String(body, StandardCharsets.UTF_8), JsonObject.class);
            if (list == null) {
                throw new MalformedInputException("the list is empty");
            }
            return list;
        } catch (JsonParseException e) {
            throw new MalformedInputException("the list is not JSON");
        }
    }

    private static ParsedList parse(JsonObject list) throws MalformedInputException {
        try {
            List<ListEntry> entries = new ArrayList<>();
            for (JsonElement entry : JsonValues.array(list, "endpoints")) {
                entries.add(parseEntry(entry.getAsJsonObject()));
            }
            return new ParsedList((long) JsonValues.number(list, "index", NO_VERSION), entries);
        } catch (IllegalStateException | UnsupportedOperationException | ClassCastException | NumberFormatException e) {
            throw new MalformedInputException("the list has an unexpected JSON structure");
        }
    }

    private static ListEntry parseEntry(JsonObject entry) throws MalformedInputException {
        EndpointState state = state(requiredText(entry, "status"));
        boolean hasAddress = state != EndpointState.REMOVED || entry.has("address");
        return new ListEntry(
                requiredText(entry, "name"),
                state,
                hasAddress ? address(entry) : null,
                JsonValues.number(entry, "since_ms", 0),
                JsonValues.number(entry, "weight", 1),
                (int) JsonValues.number(entry, "group", 0),
                JsonValues.text(entry, "zone"));
    }

    private static EndpointState state(String status) {
        return switch (status) {
            case "in_service" -> EndpointState.READY;
            case "terminating" -> EndpointState.DRAINING;
            default -> EndpointState.REMOVED;
        };
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

    private static InetSocketAddress address(JsonObject entry) throws MalformedInputException {
        try {
            return Configuration.address("address", requiredText(entry, "address"));
        } catch (InvalidConfigurationException e) {
            throw new MalformedInputException("an entry has no address of the form host:port");
        }
    }

    private static String requiredText(JsonObject entry, String key) throws MalformedInputException {
        String text = JsonValues.text(entry, key);
        if (text == null) {
            throw new MalformedInputException("an entry has no '" + key + "'");
        }
        return text;
    }
}
