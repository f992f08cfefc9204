package stonelb;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.config.Configuration;
import stonelb.discovery.HostGroup;
import stonelb.standins.Program;
import stonelb.standins.StandIns;

/** Guards against a gateway that does not start where a fleet has no zones, or others than its settings name. */
class ZonesTest {
    @TempDir
    Path folder;

    private List<Integer> zones(String settings, String... listed) throws Exception {
        StringBuilder list = new StringBuilder();
        for (String zone : listed) {
            list.append(list.isEmpty() ? "" : ",").append("{\"name\":\"s-").append(list.length())
                    .append("\",\"address\":\"127.0.0.1:1\",\"status\":\"in_service\"").append(zone).append('}');
        }
        List<Integer> zones = new ArrayList<>();
        try (StandIns around = new StandIns()) {
            Files.writeString(folder.resolve("config.json"),
                    around.config("127.0.0.1:0", Program.OPEN).replace("\"azs\":[\"a\"],", settings));
            Configuration config = Configuration.read(Map.of("PROXY_CONFIG", folder.resolve("config.json").toString()));
            new HostGroup(config.zones(), (mode, servers) -> servers.forEach(s -> zones.add(s.zone())),
                    new HostGroup.Places() {
                        @Override
                        public void host(long id, String name, InetSocketAddress at, boolean ready, double since) { }

                        @Override
                        public void only(Set<Long> servers) { }
                    }).known(new Gson().fromJson("{\"index\":1,\"endpoints\":[" + list + "]}", JsonObject.class));
        }
        return zones;
    }

    @Test
    void anyZonesOrNoneAreTaken() throws Exception {
        String a = ",\"zone\":\"a\"";
        String b = ",\"zone\":\"b\"";
        assertEquals(List.of(0, 1, 2, 1), zones("\"azs\":[\"a\"],", a, b, ",\"zone\":\"c\"", b));
        assertEquals(List.of(0, 0), zones("\"azs\":null,", ",\"zone\":null", ""));
        assertEquals(List.of(0, 1), zones("", a, b));
    }
}
