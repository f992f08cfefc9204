package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.config.Configuration;
import stonelb.discovery.EndpointList;
import stonelb.discovery.EndpointStartTimes;
import stonelb.gateway.endpoint.EndpointConnections;
import stonelb.standins.GatewayProcess;
import stonelb.standins.StubPlatform;

/** A gateway must accept endpoints without zones, and endpoints in zones that its settings do not name. */
class ZonesTest {
    @TempDir
    Path folder;

    private EndpointList endpointList;
    private final List<Integer> zoneNumbers = new ArrayList<>();

    /** Returns the zone numbers assigned to endpoints in the given zones. */
    private List<Integer> zoneNumbersFor(String settings, String... endpointZones) throws Exception {
        StringBuilder list = new StringBuilder();
        for (String zone : endpointZones) {
            list.append(list.isEmpty() ? "" : ",")
                    .append("{\"name\":\"s-")
                    .append(list.length())
                    .append("\",\"status\":\"gone\"")
                    .append(zone)
                    .append('}');
        }
        try (StubPlatform platform = new StubPlatform()) {
            Files.writeString(
                    folder.resolve("config.json"),
                    platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN)
                            .replace("\"azs\":[\"a\"],", settings));
        }
        Configuration config = Configuration.read(
                Map.of("PROXY_CONFIG", folder.resolve("config.json").toString()));
        zoneNumbers.clear();
        endpointList = new EndpointList(
                config.zones(),
                new EndpointStartTimes(() -> 0, () -> 0),
                (type, endpoints) -> endpoints.forEach(endpoint -> zoneNumbers.add(endpoint.zone())),
                new EndpointConnections(null, null, 0, 0, 0, 0));
        endpointList.loadCached(new Gson().fromJson("{\"index\":1,\"endpoints\":[" + list + "]}", JsonObject.class));
        return zoneNumbers;
    }

    @Test
    void anyZonesOrNoneAreAccepted() throws Exception {
        String zoneA = ",\"zone\":\"a\"";
        String zoneB = ",\"zone\":\"b\"";
        assertEquals(List.of(0, 1, 2, 1), zoneNumbersFor("\"azs\":[\"a\"],", zoneA, zoneB, ",\"zone\":\"c\"", zoneB));
        assertEquals(
                "a b c", endpointList.zoneName(0) + " " + endpointList.zoneName(1) + " " + endpointList.zoneName(2));
        assertEquals(List.of(0, 0), zoneNumbersFor("\"azs\":null,", ",\"zone\":null", ""));
        assertEquals("", endpointList.zoneName(0), "no zone was reported");
        assertEquals(List.of(0, 1), zoneNumbersFor("", zoneA, zoneB));
    }
}
