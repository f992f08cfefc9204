package stonelb;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.standins.Peer;
import stonelb.standins.Program.Client;
import stonelb.standins.Program;
import stonelb.standins.StandIns;

/** The watch on discovery, against one that misbehaves. */
class WatchTest {
    @TempDir
    Path folder;

    private final List<String> calls = new CopyOnWriteArrayList<>();
    private volatile String answer;

    private void session(InputStream in, OutputStream out) throws java.io.IOException, InterruptedException {
        while (true) {
            String target = Peer.http(in).target();
            calls.add(target);
            Peer.write(out, target.contains("index=") ? answer : Peer.httpAnswer(200, "", list));
            Thread.sleep(20);
        }
    }

    private String list;

    private static String empty(int index) {
        return Peer.httpAnswer(200, "", "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[]}");
    }

    @Test
    void aWatchThatIsRefusedOrBrokenBeginsAgainWithTheWholeListAndTheOldOneServesOn() throws Exception {
        try (StandIns around = new StandIns(); Peer discovery = new Peer(this::session)) {
            list = around.list();
            for (String bad : List.of(Peer.httpAnswer(410, "", "gone"), Peer.httpAnswer(200, "", "{nonsense"),
                    Peer.httpAnswer(200, "", "{\"endpoints\":[{\"name\":5}]}"), "garbage\r\n\r\n")) {
                calls.clear();
                answer = bad;
                String config = around.config("127.0.0.1:0", Program.OPEN).replace(around.discovery.address(),
                        discovery.address());
                try (Program program = new Program(folder, config, null);
                        Client client = new Client(program.port("the platform"))) {
                    Program.until("it asks for the whole list again", () -> calls.stream()
                            .filter(c -> c.equals("/catalog/members")).count() >= 3);
                    assertEquals("echo x", client.ask("Q.ASK", "0000000000000001", "2", "c=read,t=open,d=9000,units=1,spread=1,first=0",
                            "x"));
                    answer = empty(0);
                    int before = calls.size();
                    Program.until("the watch goes on", () -> calls.size() > before + 10);
                    assertTrue(calls.get(calls.size() - 1).contains("index=0&wait="), calls.toString());
                    assertEquals(null, program.line("internal error"));
                }
            }
        }
    }

    /** Guards against gateways that together keep down a discovery that can't keep up. */
    @Test
    void aDiscoveryThatCannotKeepUpIsAskedForChangesOnly() throws Exception {
        try (StandIns around = new StandIns(); Peer discovery = new Peer(this::session)) {
            list = around.list();
            answer = Peer.httpAnswer(503, "", "busy");
            String config = around.config("127.0.0.1:0", Program.OPEN).replace(around.discovery.address(),
                    discovery.address());
            try (Program program = new Program(folder, config, null);
                    Client client = new Client(program.port("the platform"))) {
                Program.until("it asks again", () -> calls.size() >= 4);
                assertEquals(List.of(), calls.stream().skip(1).filter(c -> !c.contains("index=")).toList());
                assertEquals("echo x", client.ask("Q.ASK", "0000000000000001", "2",
                        "c=read,t=open,d=9000,units=1,spread=1,first=0", "x"));
            }
        }
    }
}
