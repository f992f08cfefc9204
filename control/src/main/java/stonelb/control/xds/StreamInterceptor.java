package stonelb.control.xds;

import io.envoyproxy.envoy.config.core.v3.Node;
import io.grpc.ForwardingServerCallListener;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Intercepts every ADS stream before the discovery server of java-control-plane: limits their number, and wraps each in
 * an {@link AdsCall}. It owns the streams: each is created and closed here.
 */
final class StreamInterceptor implements ServerInterceptor, AdsCall.CallListener {
    private static final String STATE_OF_THE_WORLD_METHOD = "StreamAggregatedResources";
    private static final String INCREMENTAL_METHOD = "DeltaAggregatedResources";

    private final ProxyStreams streams;
    private final AdsConfigWatcher watcher;
    private final StreamLimits limits;
    private final DoubleSupplier clock;
    private final StreamListener listener;
    private final Set<AdsCall<?, ?>> calls = new LinkedHashSet<>();
    private long rejectedStreams;

    StreamInterceptor(
            ProxyStreams streams,
            AdsConfigWatcher watcher,
            StreamLimits limits,
            DoubleSupplier clock,
            StreamListener listener) {
        this.streams = streams;
        this.watcher = watcher;
        this.limits = limits;
        this.clock = clock;
        this.listener = listener;
    }

    int openStreams() {
        return calls.size();
    }

    long rejectedStreams() {
        return rejectedStreams;
    }

    /** Closes streams whose proxy no longer reads or responds. */
    void closeStalledStreams() {
        double now = clock.getAsDouble();
        for (AdsCall<?, ?> call : List.copyOf(calls)) {
            if (call.stream().stalledMs(now) > limits.stallTimeoutMs()) {
                call.end(Status.DEADLINE_EXCEEDED.withDescription("an answer went without ACK or NACK for too long"));
            }
        }
    }

    @Override
    public <RequestT, ResponseT> ServerCall.Listener<RequestT> interceptCall(
            ServerCall<RequestT, ResponseT> call, Metadata headers, ServerCallHandler<RequestT, ResponseT> next) {
        String method = String.valueOf(call.getMethodDescriptor().getBareMethodName());
        boolean incremental = method.equals(INCREMENTAL_METHOD);
        if (!incremental && !method.equals(STATE_OF_THE_WORLD_METHOD)) {
            return next.startCall(call, headers);
        }
        if (calls.size() >= limits.maxStreams()) {
            rejectedStreams++;
            call.close(
                    Status.UNAVAILABLE.withDescription("there are " + calls.size() + " streams, which is the bound"),
                    new Metadata());
            return new ServerCall.Listener<>() {};
        }
        String peer = String.valueOf(call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR));
        AdsStream stream = new AdsStream(streams, incremental, peer);
        AdsCall<RequestT, ResponseT> adsCall = new AdsCall<>(call, stream, watcher, limits.maxNames(), clock, this);
        calls.add(adsCall);
        return new AdsCallListener<>(adsCall, next.startCall(adsCall, headers));
    }

    @Override
    public void nodeIdentified(Node node) {
        listener.streamOpened(node);
    }

    @Override
    public void permissionDenied() {
        rejectedStreams++;
    }

    @Override
    public void released(AdsCall<?, ?> call) {
        calls.remove(call);
        AdsStream stream = call.stream();
        String node = stream.node();
        stream.close();
        if (node != null && !streams.isConnected(node)) {
            listener.streamClosed(node);
        }
    }

    /** Passes requests to the call, and releases it when it is cancelled or complete. */
    private static final class AdsCallListener<RequestT>
            extends ForwardingServerCallListener.SimpleForwardingServerCallListener<RequestT> {
        private final AdsCall<RequestT, ?> call;

        AdsCallListener(AdsCall<RequestT, ?> call, ServerCall.Listener<RequestT> server) {
            super(server);
            this.call = call;
        }

        @Override
        public void onMessage(RequestT message) {
            call.receive(message, delegate());
        }

        @Override
        public void onCancel() {
            call.release();
            super.onCancel();
        }

        @Override
        public void onComplete() {
            call.release();
            super.onComplete();
        }
    }
}
