package stonelb.decision.simulator;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonelb.decision.AdmissionRequest;
import stonelb.decision.AttemptResult;
import stonelb.decision.DecisionActions;
import stonelb.decision.DecisionEngine;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DefaultDecisionEngine;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.Outcome;

/** Answers batches of events for several engines, each identified by an instance number. */
final class SimulatorSession {
    private static final int HEADER_BYTES = 12;
    private static final long MAX_FRAME = 1L << 29;

    private final Map<Integer, Host> hosts = new TreeMap<>();
    private final SimulatorFrames.Writer reply = new SimulatorFrames.Writer();

    /** Serves until the input ends between two frames. */
    void serve(InputStream input, OutputStream output) throws IOException, SimulatorFrames.MalformedFrameException {
        DataInputStream in = new DataInputStream(input);
        for (int firstByte = in.read(); firstByte >= 0; firstByte = in.read()) {
            ByteBuffer frame;
            try {
                long length = firstByte
                        | in.readUnsignedByte() << 8
                        | in.readUnsignedByte() << 16
                        | (long) in.readUnsignedByte() << 24;
                if (length < HEADER_BYTES || length > MAX_FRAME) {
                    throw new SimulatorFrames.MalformedFrameException(
                            "a frame of " + length + " bytes is out of bounds");
                }
                byte[] bytes = in.readNBytes((int) length);
                if (bytes.length < length) {
                    throw new EOFException();
                }
                frame = handleBatch(bytes);
            } catch (EOFException e) {
                throw new SimulatorFrames.MalformedFrameException("the input ends inside a frame");
            }
            output.write(frame.array(), frame.arrayOffset(), frame.limit());
            output.flush();
        }
    }

    /** Handles one batch, without its length prefix, and returns the complete reply frame. */
    ByteBuffer handleBatch(byte[] batch) throws SimulatorFrames.MalformedFrameException {
        reply.clear();
        SimulatorFrames.Reader in = new SimulatorFrames.Reader(batch);
        double now = in.f64();
        long records = in.u32();
        for (long i = 0; i < records; i++) {
            handleEvent(in, now);
        }
        if (!in.atEnd()) {
            throw new SimulatorFrames.MalformedFrameException(
                    "bytes are left after the last record, from byte " + in.position());
        }
        return reply.frame();
    }

    private void handleEvent(SimulatorFrames.Reader in, double now) throws SimulatorFrames.MalformedFrameException {
        int code = in.u16();
        int instance = in.u16();
        Host host = hosts.get(instance);
        switch (code) {
            case SimulatorFrames.START -> start(instance, in, now);
            case SimulatorFrames.STOP -> hosts.remove(instance);
            case SimulatorFrames.REQUEST_RECEIVED -> requestReceived(host, in, now);
            case SimulatorFrames.ATTEMPT_ENDED -> {
                AttemptResult result = in.attemptResult();
                deliver(host, () -> host.engine.attemptEnded(now, result));
            }
            case SimulatorFrames.RESPONSE_STARTED -> responseStarted(host, in, now);
            case SimulatorFrames.REQUEST_WITHDRAWN -> {
                long id = in.u64();
                deliver(host, () -> host.engine.requestWithdrawn(now, id));
            }
            case SimulatorFrames.TIMER_FIRED -> {
                long token = in.u64();
                deliver(host, () -> host.engine.timerFired(now, token));
            }
            case SimulatorFrames.ENDPOINTS_CHANGED -> endpointsChanged(host, in, now);
            case SimulatorFrames.HEALTH_CHECK_RESULT -> skipHealthCheckResult(in);
            case SimulatorFrames.PEER_MESSAGE -> skipPeerMessage(in);
            case SimulatorFrames.COUNTER_ANSWERED -> counterAnswered(host, in, now);
            default -> throw new SimulatorFrames.MalformedFrameException("unknown event code " + code);
        }
    }

    private void start(int instance, SimulatorFrames.Reader in, double now)
            throws SimulatorFrames.MalformedFrameException {
        long seed = in.u64();
        Host host = new Host(instance, SettingsParser.parse(in.bytes(in.u32())).settings());
        hosts.put(instance, host);
        host.run(() -> host.engine = new DefaultDecisionEngine(now, host.settings, seed, host));
    }

    private static void requestReceived(Host host, SimulatorFrames.Reader in, double now)
            throws SimulatorFrames.MalformedFrameException {
        AdmissionRequest request = in.admissionRequest();
        if (host == null) {
            return;
        }
        DecisionSettings settings = host.settings;
        boolean knownClass = request.requestClass() < settings.classes().size();
        boolean knownPlan =
                request.plan() >= 0 && request.plan() < settings.plans().size();
        if (!knownClass || !knownPlan) {
            throw new SimulatorFrames.MalformedFrameException(
                    "request " + request.id() + " names a class or plan not in the settings");
        }
        host.run(() -> host.engine.requestReceived(now, request));
    }

    private static void responseStarted(Host host, SimulatorFrames.Reader in, double now)
            throws SimulatorFrames.MalformedFrameException {
        long id = in.u64();
        int attempt = in.u16();
        in.endpointId();
        in.f64();
        deliver(host, () -> host.engine.responseStarted(now, id, attempt));
    }

    private static void endpointsChanged(Host host, SimulatorFrames.Reader in, double now)
            throws SimulatorFrames.MalformedFrameException {
        EndpointListType type = in.listType();
        in.u64();
        List<Endpoint> endpoints = in.endpoints();
        deliver(host, () -> host.engine.endpointsChanged(now, type, endpoints));
    }

    private static void counterAnswered(Host host, SimulatorFrames.Reader in, double now)
            throws SimulatorFrames.MalformedFrameException {
        Outcome outcome = in.outcome();
        double tookMs = in.f64();
        double total = in.f32();
        long name = in.u64();
        deliver(host, () -> host.engine.counterAnswered(now, name, outcome, tookMs, total));
    }

    /** The engine never sends a health check, so a result is ignored. */
    private static void skipHealthCheckResult(SimulatorFrames.Reader in)
            throws SimulatorFrames.MalformedFrameException {
        in.f64();
        in.endpointId();
        in.outcome();
        in.skipLoad();
    }

    /** The engine never sends a message to a peer, so a received one is ignored. */
    private static void skipPeerMessage(SimulatorFrames.Reader in) throws SimulatorFrames.MalformedFrameException {
        in.u16();
        in.bytes(in.u16());
    }

    private static void deliver(Host host, Runnable event) {
        if (host != null) {
            host.run(event);
        }
    }

    /** One engine with its settings; writes the engine's actions to the reply. */
    private final class Host implements DecisionActions {
        private final int instance;
        private final DecisionSettings settings;
        private DecisionEngine engine;
        private boolean failed;

        Host(int instance, DecisionSettings settings) {
            this.instance = instance;
            this.settings = settings;
        }

        void run(Runnable event) {
            if (failed) {
                return;
            }
            try {
                event.run();
            } catch (RuntimeException e) {
                failed = true;
                StackTraceElement[] stackTrace = e.getStackTrace();
                reply.record(SimulatorFrames.ENGINE_FAILED, instance)
                        .text(e + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
            }
        }

        @Override
        public void forward(long requestId, long endpoint, double timeoutMs) {
            reply.record(SimulatorFrames.FORWARD, instance)
                    .u64(requestId)
                    .endpointId(endpoint)
                    .f64(timeoutMs);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            reply.record(SimulatorFrames.CANCEL, instance).u64(requestId).u16(attempt);
        }

        @Override
        public void reject(long requestId, double retryAfterMs) {
            reply.record(SimulatorFrames.REJECT, instance).u64(requestId).f64(retryAfterMs);
        }

        @Override
        public void fail(long requestId) {
            reply.record(SimulatorFrames.FAIL, instance).u64(requestId);
        }

        @Override
        public void schedule(double delayMs, long token) {
            reply.record(SimulatorFrames.SCHEDULE, instance).f64(delayMs).u64(token);
        }

        @Override
        public void addToCounter(long name, double amount, double retentionMs) {
            reply.record(SimulatorFrames.ADD_TO_COUNTER, instance)
                    .f64(retentionMs)
                    .f32(amount)
                    .u64(name);
        }

        @Override
        public void watchEndpoints() {
            reply.record(SimulatorFrames.WATCH_ENDPOINTS, instance).u8(1);
        }
    }
}
