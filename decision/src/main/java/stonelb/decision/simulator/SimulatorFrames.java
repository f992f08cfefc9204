package stonelb.decision.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import stonelb.decision.AdmissionRequest;
import stonelb.decision.AttemptResult;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.decision.Outcome;

/** Reads the records of a batch and writes those of a reply. All numbers are little-endian. */
final class SimulatorFrames {
    // Event codes.
    static final int START = 256;
    static final int ATTEMPT_ENDED = 257;
    static final int COUNTER_ANSWERED = 258;
    static final int RESPONSE_STARTED = 259;
    static final int REQUEST_RECEIVED = 260;
    static final int STOP = 261;
    static final int REQUEST_WITHDRAWN = 262;
    static final int TIMER_FIRED = 263;
    static final int PEER_MESSAGE = 264;
    static final int ENDPOINTS_CHANGED = 265;
    static final int HEALTH_CHECK_RESULT = 266;

    // Action codes.
    static final int FORWARD = 256;
    static final int SCHEDULE = 259;
    static final int CANCEL = 260;
    static final int ADD_TO_COUNTER = 261;
    static final int REJECT = 264;
    static final int FAIL = 265;
    static final int ENGINE_FAILED = 266;
    static final int WATCH_ENDPOINTS = 267;

    /** The outcomes, indexed by their codes. */
    private static final List<Outcome> OUTCOMES = List.of(
            Outcome.OK,
            Outcome.ERROR,
            Outcome.REJECTED,
            Outcome.TIMEOUT,
            Outcome.CONNECT_FAILED,
            Outcome.RESET,
            Outcome.CANCELLED,
            Outcome.NOT_SENT);

    private static final int ENDPOINT_BYTES = 25;
    private static final int RETRY_BIT = 2;
    private static final int MAX_TEXT_BYTES = 0xffff;

    /** Thrown for input that violates the protocol. */
    static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String message) {
            super(message);
        }
    }

    /** Reads the records of a batch field by field. */
    static final class Reader {
        private final ByteBuffer in;

        Reader(byte[] bytes) {
            in = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        }

        boolean atEnd() {
            return !in.hasRemaining();
        }

        int position() {
            return in.position();
        }

        int u8() throws MalformedFrameException {
            return require(1).get() & 0xff;
        }

        int u16() throws MalformedFrameException {
            return require(2).getShort() & 0xffff;
        }

        long u32() throws MalformedFrameException {
            return require(4).getInt() & 0xffffffffL;
        }

        long u64() throws MalformedFrameException {
            return require(8).getLong();
        }

        float f32() throws MalformedFrameException {
            return require(4).getFloat();
        }

        double f64() throws MalformedFrameException {
            return require(8).getDouble();
        }

        byte[] bytes(long count) throws MalformedFrameException {
            byte[] out = new byte[(int) checkedCount(count, 1)];
            in.get(out);
            return out;
        }

        /** An IPv4 address in network byte order and a port, packed into one number. */
        long endpointId() throws MalformedFrameException {
            long address =
                    Integer.toUnsignedLong(Integer.reverseBytes(require(6).getInt()));
            return address << 16 | u16();
        }

        Outcome outcome() throws MalformedFrameException {
            int code = u8();
            if (code >= OUTCOMES.size()) {
                throw new MalformedFrameException("unknown outcome " + code + " before byte " + in.position());
            }
            return OUTCOMES.get(code);
        }

        AdmissionRequest admissionRequest() throws MalformedFrameException {
            long id = u64();
            int requestClass = u16();
            int plan = (int) u32();
            long customer = u64();
            double deadlineMs = f64();
            double units = f32();
            int spread = Math.round(f32());
            f32();
            return new AdmissionRequest(
                    id, requestClass, plan, customer, deadlineMs, units, spread, (u8() & RETRY_BIT) != 0);
        }

        AttemptResult attemptResult() throws MalformedFrameException {
            long id = u64();
            int attempt = u16();
            long endpoint = endpointId();
            Outcome outcome = outcome();
            double latencyMs = f64();
            boolean answered = u8() != 0;
            u16();
            int actualUnits = u16();
            skipLoad();
            return new AttemptResult(id, attempt, endpoint, outcome, latencyMs, answered, actualUnits);
        }

        /** A load report, which the module does not use. */
        void skipLoad() throws MalformedFrameException {
            bytes((long) Float.BYTES * u8());
        }

        EndpointListType listType() throws MalformedFrameException {
            int code = u8();
            return switch (code) {
                case 0 -> EndpointListType.DELTA;
                case 1 -> EndpointListType.SNAPSHOT;
                case 2 -> EndpointListType.CACHED;
                case 3 -> EndpointListType.FAILED;
                default ->
                    throw new MalformedFrameException(
                            "unknown endpoint list type " + code + " before byte " + in.position());
            };
        }

        List<Endpoint> endpoints() throws MalformedFrameException {
            long entries = checkedCount(u32(), ENDPOINT_BYTES);
            List<Endpoint> list = new ArrayList<>((int) entries);
            for (long i = 0; i < entries; i++) {
                double startedAtMs = f64();
                double weight = f32();
                u16();
                int cell = u16();
                int code = u8();
                EndpointState state =
                        switch (code) {
                            case 0 -> EndpointState.REMOVED;
                            case 1 -> EndpointState.READY;
                            case 2 -> EndpointState.DRAINING;
                            default ->
                                throw new MalformedFrameException(
                                        "unknown endpoint state " + code + " before byte " + in.position());
                        };
                int zone = u16();
                list.add(new Endpoint(endpointId(), state, startedAtMs, weight, cell, zone));
            }
            return list;
        }

        private long checkedCount(long count, int entryBytes) throws MalformedFrameException {
            if (count * entryBytes > in.remaining()) {
                throw new MalformedFrameException(
                        "a count of " + count + " before byte " + in.position() + " runs past the end of the frame");
            }
            return count;
        }

        private ByteBuffer require(int bytes) throws MalformedFrameException {
            if (in.remaining() < bytes) {
                throw new MalformedFrameException("the frame ends inside a record, at byte " + in.position());
            }
            return in;
        }
    }

    /** A reply under construction. */
    static final class Writer {
        private ByteBuffer out = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);

        Writer() {
            clear();
        }

        void clear() {
            out.clear();
            out.putInt(0);
        }

        /** The finished frame, its length filled in. */
        ByteBuffer frame() {
            out.putInt(0, out.position() - Integer.BYTES);
            return out.duplicate().order(ByteOrder.LITTLE_ENDIAN).flip();
        }

        Writer record(int code, int instance) {
            return u16(code).u16(instance);
        }

        Writer u8(int value) {
            ensureRoom(1).put((byte) value);
            return this;
        }

        Writer u16(int value) {
            ensureRoom(2).putShort((short) value);
            return this;
        }

        Writer u64(long value) {
            ensureRoom(8).putLong(value);
            return this;
        }

        Writer f32(double value) {
            ensureRoom(4).putFloat((float) value);
            return this;
        }

        Writer f64(double value) {
            ensureRoom(8).putDouble(value);
            return this;
        }

        Writer endpointId(long id) {
            ensureRoom(6).putInt(Integer.reverseBytes((int) (id >>> 16)));
            return u16((int) id & 0xffff);
        }

        Writer text(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            int length = Math.min(bytes.length, MAX_TEXT_BYTES);
            u16(length);
            ensureRoom(length).put(bytes, 0, length);
            return this;
        }

        private ByteBuffer ensureRoom(int bytes) {
            if (out.remaining() < bytes) {
                ByteBuffer larger =
                        ByteBuffer.allocate(2 * out.capacity() + bytes).order(ByteOrder.LITTLE_ENDIAN);
                out = larger.put(out.flip());
            }
            return out;
        }
    }

    private SimulatorFrames() {}
}
