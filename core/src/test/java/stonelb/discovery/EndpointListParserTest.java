package stonelb.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import stonelb.decision.EndpointState;
import stonelb.discovery.EndpointListParser.ListEntry;
import stonelb.discovery.EndpointListParser.ParsedList;
import stonelb.io.MalformedInputException;

/** Guards against lists that are misread or rejected because of their form, and malformed ones that are taken. */
class EndpointListParserTest {
    private static ParsedList parse(String json) throws MalformedInputException {
        return EndpointListParser.parse(new StringReader(json));
    }

    @Test
    void membersAreReadInAnyOrderWithDefaultsAndUnknownOnesSkipped() throws MalformedInputException {
        ParsedList list = parse(
                """
                {
                  "endpoints": [
                    {"other": {"name": [1, {}]}, "group": "3", "address": "127.0.0.1:9", "status": "in_service",
                     "name": "s-1", "weight": 0.5, "since_ms": 1700000000000, "zone": "a"},
                    {"name": 2, "status": "terminating", "address": "127.0.0.1:10", "zone": null, "weight": null},
                    {"name": "s-3", "status": "terminated"}
                  ],
                  "other": [true, null], "snapshot": true, "index": 41
                }
                """);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
        ListEntry first = new ListEntry("s-1", EndpointState.READY, address, 1_700_000_000_000.0, 0.5, 3, "a");
        ListEntry second = new ListEntry(
                "2",
                EndpointState.DRAINING,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 10),
                0,
                1,
                0,
                null);
        ListEntry third = new ListEntry("s-3", EndpointState.REMOVED, null, 0, 1, 0, null);
        assertEquals(new ParsedList(41, true, List.of(first, second, third)), list);
        assertEquals(new ParsedList(-1, false, List.of()), parse("{\"endpoints\":null}"));
    }

    @Test
    void malformedListsAreRejectedWithTheReason() {
        String valid =
                "{\"index\":1,\"endpoints\":[{\"name\":\"s\",\"status\":\"in_service\",\"address\":\"127.0.0.1:9\"}]}";
        Map<String, String> reasons = Map.of(
                "",
                "the list is empty",
                "null",
                "the list is empty",
                "[]",
                "the list has an unexpected JSON structure",
                valid.substring(0, valid.length() - 1),
                "the list is not JSON",
                valid + "}",
                "the list is not JSON",
                valid.replace("[{", "[1,{"),
                "the list has an unexpected JSON structure",
                valid.replace(":1,", ":\"x\","),
                "the list has an unexpected JSON structure",
                valid.replace("\"name\":\"s\",", ""),
                "an entry has no 'name'",
                valid.replace("127.0.0.1:9", "nowhere"),
                "an entry has no address of the form host:port");
        reasons.forEach((json, reason) -> assertEquals(
                reason,
                assertThrows(MalformedInputException.class, () -> parse(json), json)
                        .getMessage(),
                json));
    }
}
