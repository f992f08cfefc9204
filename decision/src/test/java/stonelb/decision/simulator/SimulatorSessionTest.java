package stonelb.decision.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import stonelb.decision.AdmissionRequest;
import stonelb.decision.AttemptResult;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.decision.Outcome;

/** The codec against the examples of the protocol's description, and the handling of malformed input. */
class SimulatorSessionTest {
    private static final String SETTINGS =
            """
            {"balancers": 2, "rank": 1, "new key": [1], "report": {"how": "inline", "fields": ["x0", "recent_ms"]},
             "categories": [{"deadlineMs": 5000, "promiseMs": 1500, "effect": "idempotent", "worth": 2}],
             "tiersOfService": [{"unitsPerS": 1, "depth": 5, "worthFactor": 0.72}],
             "allowed": {"maxAttempts": 3}, "rules": {"answerSlackMs": 16}, "stepMs": 4}""";

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    private static SimulatorFrames.Reader readerAfterHeader(String text)
            throws SimulatorFrames.MalformedFrameException {
        SimulatorFrames.Reader in = new SimulatorFrames.Reader(hex(text));
        in.u16();
        assertEquals(3, in.u16());
        return in;
    }

    private static String serve(byte[] input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorSession().serve(new ByteArrayInputStream(input), out);
        return HexFormat.of().formatHex(out.toByteArray());
    }

    private static byte[] startFrame(String settings) {
        byte[] json = settings.getBytes(StandardCharsets.UTF_8);
        SimulatorFrames.Writer writer = new SimulatorFrames.Writer();
        writer.f64(1000)
                .u16(1)
                .u16(0)
                .record(SimulatorFrames.START, 3)
                .u64(7)
                .u16(json.length)
                .u16(0);
        for (byte value : json) {
            writer.u8(value);
        }
        byte[] frame = new byte[writer.frame().limit()];
        writer.frame().get(frame);
        return frame;
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws Exception {
        assertEquals("00000000", serve(hex("0c000000 00000000206ec040 00000000")));
    }

    @Test
    void eventsOfUnknownInstancesAreIgnored() throws Exception {
        assertEquals(
                "00000000",
                serve(hex("53000000 00000000206ec040 03000000"
                        + "0401 0300 c4913a5d19bd0700 0000 00000000 640ad2557c3bf091 0000000020e6c040 00000040 00004040"
                        + "0000803f 01 0701 0300 4d00000000000000 0601 0500 192b6f0ed4920000")));
    }

    @Test
    void readsARequest() throws Exception {
        AdmissionRequest request = readerAfterHeader(
                        "0401 0300 c4913a5d19bd0700 0000 00000000 640ad2557c3bf091 0000000020e6c040 00000040"
                                + "00004040 0000803f 01")
                .admissionRequest();
        assertEquals(
                new AdmissionRequest(0x0007bd195d3a91c4L, 0, 0, 0x91f03b7c55d20a64L, 8652.25, 2, 3, false), request);
    }

    @Test
    void readsAnAttemptResultAndSkipsItsLoadReport() throws Exception {
        SimulatorFrames.Reader in = readerAfterHeader(
                "0101 0300 c4913a5d19bd0700 0000 0a124a07 431f 00 0000000000803240 01 5600 0300 01" + "00006841");
        AttemptResult result = in.attemptResult();
        assertTrue(in.atEnd());
        assertEquals(Outcome.OK, result.outcome());
        assertEquals(18.5, result.latencyMs());
        assertTrue(result.answered());
        assertEquals(3, result.actualUnits());
        assertEquals(0x0a124a071f43L, result.endpoint());
    }

    @Test
    void readsAnEndpointList() throws Exception {
        SimulatorFrames.Reader in = readerAfterHeader("0901 0300 02 2900000000000000 02000000"
                + "0000000000000000 0000803f 0000 0000 01 0000 0a124a07 431f"
                + "0000000000d4b740 0000c03f 0000 0000 01 0000 0a9011f2 6c1f");
        assertEquals(EndpointListType.CACHED, in.listType());
        assertEquals(41, in.u64());
        var list = in.endpoints();
        assertEquals(new Endpoint(0x0a9011f21f6cL, EndpointState.READY, 6100, 1.5, 0, 0), list.get(1));
        assertTrue(in.atEnd());
    }

    @Test
    void writesTheActionsOfTheProtocolsExamples() throws Exception {
        SimulatorFrames.Writer writer = new SimulatorFrames.Writer();
        writer.record(SimulatorFrames.FORWARD, 3)
                .u64(0x0007bd195d3a91c4L)
                .endpointId(0x0a124a071f43L)
                .f64(80);
        writer.record(SimulatorFrames.SCHEDULE, 3).f64(500).u64(77);
        writer.record(SimulatorFrames.ENGINE_FAILED, 5).text("two servers known");
        byte[] frame = new byte[writer.frame().limit()];
        writer.frame().get(frame);
        assertArrayEquals(
                hex("45000000 0001 0300 c4913a5d19bd0700 0a124a07 431f 0000000000005440"
                        + "0301 0300 0000000000407f40 4d00000000000000"
                        + "0a01 0500 1100 74776f2073657276657273206b6e6f776e"),
                frame);
    }

    @Test
    void absentValuesAreZeroAndUnknownKeysIgnored() throws Exception {
        SettingsParser parser = SettingsParser.parse(SETTINGS.getBytes(StandardCharsets.UTF_8));
        assertEquals(2, parser.settings().gateways());
        assertEquals(0, parser.settings().plans().get(0).ceilingRate());
    }

    @Test
    void startsAnInstanceAndSetsItsTimer() throws Exception {
        assertTrue(serve(startFrame(SETTINGS)).startsWith("14000000" + "0301" + "0300"));
    }

    @Test
    void malformedInputEndsTheSession() {
        assertThrows(SimulatorFrames.MalformedFrameException.class, () -> serve(hex("0c000000 0000")), "truncated");
        assertThrows(SimulatorFrames.MalformedFrameException.class, () -> serve(hex("ffffffff 00")), "oversized");
        assertThrows(
                SimulatorFrames.MalformedFrameException.class,
                () -> serve(hex("10000000 0000000000000000 01000000 ff7f0300")),
                "code");
        assertThrows(
                SimulatorFrames.MalformedFrameException.class,
                () -> serve(hex("0d000000 0000000000000000 00000000 00")),
                "left over");
        assertThrows(SimulatorFrames.MalformedFrameException.class, () -> serve(startFrame("not json")));
        assertThrows(SimulatorFrames.MalformedFrameException.class, () -> serve(startFrame("[1]")));
    }
}
