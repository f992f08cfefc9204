package stonelb.discovery;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import lichenbeam.Gateway.ListMode;
import lichenbeam.Gateway.Phase;
import lichenbeam.Gateway.Server;
import stonelb.config.Configuration;
import stonelb.config.Json;
import stonelb.io.Malformed;

/** Discovery's list of plan servers: turns its entries into the module's, and names into numbers. */
public final class HostGroup {
    /** Who decides by the list. */
    public interface Members {
        void servers(ListMode mode, List<Server> list);
    }

    /** Who keeps where plan servers listen; told of a change before {@link Members} are. */
    public interface Places {

        /** Where one listens, whether it takes new work, and when it started (Unix ms, 0 for long ago). */
        void host(long server, String name, InetSocketAddress address, boolean ready, double since);

        /** A complete list named these alone. */
        void only(Set<Long> servers);
    }

    private final List<String> zones;   // the settings' own first, then others as the lists name them
    private final Members members;
    private final Places places;
    private final Map<String, Long> ids = new HashMap<>();   // of those that have not gone
    private long lastId;
    private long version = -1;

    public HostGroup(List<String> zones, Members members, Places places) {
        this.zones = new ArrayList<>(zones);
        this.members = members;
        this.places = places;
    }

    /** The list as this gateway last held it; it serves until discovery answers. */
    public void known(JsonObject list) throws Malformed {
        take(list, ListMode.CACHED);
    }

    public boolean isEmpty() {
        return ids.isEmpty();
    }

    /** Of the list held; -1 while there is none. */
    public long version() {
        return version;
    }

    /** Takes an answer of discovery and gives its version. */
    long take(byte[] body) throws Malformed {
        JsonObject list = parsed(body);
        JsonElement whole = list.get("snapshot");
        return take(list, whole != null && whole.isJsonPrimitive() && whole.getAsBoolean() ? ListMode.FULL
                : ListMode.DELTA);
    }

    private static JsonObject parsed(byte[] body) throws Malformed {
        try {
            JsonObject list = new Gson().fromJson(new String(body, java.nio.charset.StandardCharsets.UTF_8),
                    JsonObject.class);
            if (list == null) {
                throw new Malformed("the list is empty text");
            }
            return list;
        } catch (com.google.gson.JsonParseException e) {
            throw new Malformed("the list is not JSON");
        }
    }

    private long take(JsonObject list, ListMode mode) throws Malformed {
        try {
            return read(list, mode);
        } catch (IllegalStateException | UnsupportedOperationException | ClassCastException
                | NumberFormatException e) {
            throw new Malformed("the list is not the JSON expected");
        }
    }

    private long read(JsonObject list, ListMode mode) throws Malformed {
        List<Server> servers = new ArrayList<>();
        List<Runnable> moves = new ArrayList<>();
        for (JsonElement e : Json.array(list, "endpoints")) {
            JsonObject o = e.getAsJsonObject();
            Phase phase = switch (text(o, "status")) {
                case "in_service" -> Phase.READY;
                case "terminating" -> Phase.DRAINING;
                default -> Phase.GONE;
            };
            String name = text(o, "name");
            double since = Json.number(o, "since_ms", 0);
            long id = ids.computeIfAbsent(name, k -> ++lastId);
            if (phase != Phase.GONE || o.has("address")) {
                InetSocketAddress address = address(o);
                moves.add(() -> places.host(id, name, address, phase == Phase.READY, since));
            }
            servers.add(new Server(id, phase, since, Json.number(o, "weight", 1),
                    (int) Json.number(o, "group", 0), zone(Json.text(o, "zone"))));
        }
        version = (long) Json.number(list, "index", -1);
        // Nothing is taken of a list that does not read whole.
        moves.forEach(Runnable::run);
        // Guards against names that pile up: one that comes back is a new process, under a new number.
        ids.values().removeAll(servers.stream().filter(s -> s.phase() == Phase.GONE).map(Server::id).toList());
        if (mode != ListMode.DELTA) {
            ids.values().retainAll(servers.stream().map(Server::id).collect(Collectors.toSet()));
            places.only(servers.stream().map(Server::id).collect(Collectors.toSet()));
        }
        if (!servers.isEmpty() || mode != ListMode.DELTA) {
            members.servers(mode, servers);
        }
        return version;
    }

    /** Guards against lists that tell no zone, or more than the settings name: two of them are never one number. */
    private int zone(String name) {
        if (name != null && !zones.contains(name)) {
            zones.add(name);
        }
        return Math.max(0, zones.indexOf(name));
    }

    /** The name of a server's zone; empty where none was ever told. */
    public String zoneName(int zone) {
        return zone < zones.size() ? zones.get(zone) : "";
    }

    private static InetSocketAddress address(JsonObject o) throws Malformed {
        try {
            return Configuration.address("address", text(o, "address"));
        } catch (Configuration.Invalid e) {
            throw new Malformed("an entry has no address of the form host:port");
        }
    }

    /** Guards against an entry that lacks what every entry has. */
    private static String text(JsonObject in, String key) throws Malformed {
        String text = Json.text(in, key);
        if (text == null) {
            throw new Malformed("an entry has no '" + key + "'");
        }
        return text;
    }
}
