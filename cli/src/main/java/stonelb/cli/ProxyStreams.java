package stonelb.cli;

import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Streams of many simulated proxies to one control service: the connections they share, and the latencies of the
 * expected responses.
 */
final class ProxyStreams implements AutoCloseable {
    private static final int STREAMS_PER_CONNECTION = 100;
    private static final int TIMEOUT_SECONDS = 60;
    private static final double MICROS_PER_MS = 1000;

    private final int controlServicePort;
    private final int count;
    private final List<ManagedChannel> connections = new ArrayList<>();
    private final Histogram latencyMicros = new Histogram(120_000_000L, 3);
    private int opened;
    private volatile CountDownLatch awaited = new CountDownLatch(0);

    /**
     * Prepares streams; none is opened yet.
     *
     * @param count the number of streams
     */
    ProxyStreams(LocalDeployment deployment, int count) {
        this.controlServicePort = deployment.controlService().port();
        this.count = count;
    }

    /** The node ID of a simulated proxy. */
    String nodeId(int index) {
        return "size-" + count + "-" + index;
    }

    /** Returns the connection for the next stream, opening a new one when the last is full. */
    ManagedChannel nextConnection() {
        if (opened % STREAMS_PER_CONNECTION == 0) {
            connections.add(
                    NettyChannelBuilder.forAddress("127.0.0.1", controlServicePort, InsecureChannelCredentials.create())
                            .build());
        }
        opened++;
        return connections.get(connections.size() - 1);
    }

    /** Sets the number of expected responses and clears the recorded latencies. */
    void expect(int responses) {
        synchronized (latencyMicros) {
            latencyMicros.reset();
        }
        awaited = new CountDownLatch(responses);
    }

    /** Records the time since {@code startMs} of the {@link MonotonicClock}. */
    void recordLatency(double startMs) {
        long micros = (long) ((MonotonicClock.nowMs() - startMs) * MICROS_PER_MS);
        synchronized (latencyMicros) {
            latencyMicros.recordValue(Math.min(latencyMicros.getHighestTrackableValue(), Math.max(0, micros)));
        }
    }

    /** Counts one of the expected responses. */
    void countResponse() {
        awaited.countDown();
    }

    /**
     * Waits up to a minute for the expected responses.
     *
     * @return the number of missing responses
     */
    int awaitResponses() throws InterruptedException {
        CountDownLatch current = awaited;
        return current.await(TIMEOUT_SECONDS, TimeUnit.SECONDS) ? 0 : (int) current.getCount();
    }

    /** The 99th percentile of the recorded latencies in milliseconds. */
    double p99Ms() {
        synchronized (latencyMicros) {
            return latencyMicros.getValueAtPercentile(99) / MICROS_PER_MS;
        }
    }

    @Override
    public void close() {
        connections.forEach(ManagedChannel::shutdownNow);
        connections.clear();
    }
}
