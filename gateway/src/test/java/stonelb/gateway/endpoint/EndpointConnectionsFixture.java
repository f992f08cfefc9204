package stonelb.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import stonelb.core.ClientRequest;
import stonelb.core.FailureReason;
import stonelb.core.RequestAttributes;
import stonelb.core.RequestTable;
import stonelb.core.Response;
import stonelb.decision.AttemptLimits;
import stonelb.decision.CounterSettings;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DeduplicationScope;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.decision.Idempotency;
import stonelb.decision.Plan;
import stonelb.decision.RequestClass;
import stonelb.decision.SlowStart;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;
import stonelb.testing.FaultyChannels;

/**
 * Base class of tests of connections to endpoints. The test serves the endpoints and controls the clock, and thereby
 * when quiet periods end.
 */
abstract class EndpointConnectionsFixture {
    final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    final AtomicLong clock = new AtomicLong(1_000_000); // in milliseconds
    volatile long clockRunningSinceNanos; // 0: the clock is stopped
    volatile Runnable onServed = () -> {};
    final FaultyChannels channels = new FaultyChannels();
    final EventLoop loop = new EventLoop(
            new RateLimitedLog(),
            () -> clock.get() + (clockRunningSinceNanos == 0 ? 0 : (System.nanoTime() - clockRunningSinceNanos) / 1e6),
            channels);
    EndpointConnections connections;
    RequestTable requests;

    @AfterEach
    void stop() {
        loop.shutdown();
    }

    /** Starts the connections with one endpoint, at the listener. */
    void start(ServerSocket listener) {
        start(listener, 1, 64);
    }

    /** Starts the connections with the given number of endpoints, all at the listener. */
    void start(ServerSocket listener, int endpoints, int maxConnections) {
        loop.execute(() -> {
            connections = new EndpointConnections(
                    loop, new RateLimitedLog(), 5000, 30_000, maxConnections, listener.getLocalPort());
            requests = new RequestTable(
                    new DecisionSettings(
                            1,
                            List.of(new RequestClass(5000, Idempotency.AT_MOST_ONCE, DeduplicationScope.ALL, 5000, 3)),
                            List.of(new Plan(0, 0, 0, 0, 0, 1, 0, 1)),
                            new AttemptLimits(6, false, true, true, 1000),
                            new SlowStart(0.2, 1000, 1500),
                            new CounterSettings(false, 50),
                            2,
                            false,
                            false,
                            1),
                    7,
                    loop.timers(),
                    connections,
                    (name, amount, keepMs) -> {},
                    e -> results.add(e.toString()));
            connections.start(requests);
            List<Endpoint> endpointList = new ArrayList<>();
            for (int i = 1; i <= endpoints; i++) {
                connections.addressChanged(i, "s" + i, (InetSocketAddress) listener.getLocalSocketAddress(), true, 0);
                endpointList.add(new Endpoint(i, EndpointState.READY, 0, 1, 0, 0));
            }
            requests.endpointsChanged(EndpointListType.SNAPSHOT, endpointList);
        });
    }

    /** A request that must not be executed twice. */
    final class NonIdempotentRequest extends ClientRequest implements OutboundRequest {
        private final Protocol protocol;
        private final String text;

        NonIdempotentRequest() {
            this(Protocol.RESP);
        }

        NonIdempotentRequest(Protocol protocol) {
            this(protocol, "x");
        }

        NonIdempotentRequest(Protocol protocol, String text) {
            super(new RequestAttributes(0, 0, 5, 1_020_000, 1, 1, false));
            this.protocol = protocol;
            this.text = text;
        }

        @Override
        public Protocol protocol() {
            return protocol;
        }

        @Override
        public void writeTo(ByteBuf out, long remainingMs, String authority) {
            out.writeCharSequence(text, StandardCharsets.US_ASCII);
        }

        @Override
        protected void served(Response response) {
            results.add(new String(
                    response instanceof HttpEndpointResponse http
                            ? http.message().body()
                            : ((RespResponse) response).bytes(),
                    StandardCharsets.US_ASCII));
            onServed.run();
        }

        @Override
        protected void rejected(double retryAfterMs) {
            results.add("rejected");
        }

        @Override
        protected void failed(FailureReason reason) {
            results.add("failed");
        }
    }
}
