package stonelb.counter;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import stonelb.decision.Outcome;
import stonelb.http.HttpMessage;
import stonelb.http.HttpParser;
import stonelb.io.Connection;
import stonelb.io.EventLoop;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/** One connection to the quota counter. Calls are pipelined, and responses arrive in the order of the calls. */
final class CounterConnection extends Connection {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final int REQUEST_BYTES = 160;
    private static final int CONNECT_TIMEOUT_MS = 250;

    /** Limit of the calls in flight, and of those that wait for the connection to open. */
    private static final int MAX_CALLS = 256;

    /**
     * A connection whose oldest call has had no response for this long is closed, since the peer may be unreachable.
     */
    private static final double RESPONSE_TIMEOUT_MS = 1000;

    /**
     * Well below the counter's own idle timeout, so that the counter does not close a connection on which a call is
     * being sent.
     */
    private static final double IDLE_TIMEOUT_MS = 3000;

    private final CounterClient client;
    private final InetSocketAddress address;
    private final HttpParser parser = new HttpParser(true, MAX_RESPONSE_BYTES);
    private final ArrayDeque<CounterCall> inFlight = new ArrayDeque<>();
    private final ArrayDeque<CounterCall> queuedUntilOpen = new ArrayDeque<>();
    private boolean terminated;

    /** Whether it accepts no more calls, and closes once those in flight are answered. */
    private boolean draining;

    private double lastUsedAt;

    CounterConnection(CounterClient client, InetSocketAddress address, RateLimitedLog log) {
        super(MAX_RESPONSE_BYTES, log);
        this.client = client;
        this.address = address;
        lastUsedAt = client.now();
    }

    /** Whether it accepts no more calls, even if {@link #onClosed} has not been called yet. */
    boolean isTerminated() {
        return terminated;
    }

    boolean isConnected() {
        return isOpen();
    }

    /** Whether no call on it is waiting for a response. */
    boolean hasNoOpenCalls() {
        return queuedUntilOpen.isEmpty() && inFlight.stream().allMatch(CounterCall::isReported);
    }

    /** Closes the connection once the calls in flight are answered, or when the response timeout has passed. */
    void drain(EventLoop loop) {
        draining = true;
        closeIfDrained();
        loop.timers().scheduleAfter(RESPONSE_TIMEOUT_MS, (now, token) -> close(), 0);
    }

    private void closeIfDrained() {
        if (draining && inFlight.isEmpty()) {
            close();
        }
    }

    void connect(EventLoop loop) {
        loop.connect(address, CONNECT_TIMEOUT_MS, this, connectResult -> {
            if (!connectResult.isSuccess()) {
                log.warn("quota counter unreachable", "falling back to a local share of each quota");
                onClosed();
            }
        });
    }

    /** Sends a call, or queues it while the connection opens. A call over the limit is not sent and times out. */
    void add(CounterCall call) {
        lastUsedAt = client.now();
        if (isOpen() && inFlight.size() < MAX_CALLS) {
            write(call);
        } else if (!isOpen() && queuedUntilOpen.size() < MAX_CALLS) {
            queuedUntilOpen.add(call);
        }
    }

    private void write(CounterCall call) {
        String host = address.getHostString() + ":" + address.getPort();
        String request = "POST " + call.path() + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 0\r\n\r\n";
        ByteBuf bytes = buffer(REQUEST_BYTES);
        bytes.writeCharSequence(request, StandardCharsets.US_ASCII);
        call.sentOn(this);
        inFlight.add(call);
        var unused = send(bytes); // a failed write closes the connection
    }

    @Override
    protected void onOpened() {
        if (draining) {
            close();
            return;
        }
        for (CounterCall call = queuedUntilOpen.poll(); call != null; call = queuedUntilOpen.poll()) {
            if (!call.isReported()) {
                write(call);
            }
        }
    }

    @Override
    protected void onReceived() throws MalformedInputException {
        for (HttpMessage response = parser.next(in); response != null; response = parser.next(in)) {
            CounterCall call = inFlight.poll();
            if (call == null) {
                throw new MalformedInputException("response without a request");
            }
            lastUsedAt = client.now();
            handleResponse(call, response);
            if (!response.keepsAlive()) {
                terminate();
                return;
            }
        }
        closeIfDrained();
    }

    private void handleResponse(CounterCall call, HttpMessage response) throws MalformedInputException {
        if (response.status() == 200) {
            handleTotal(call, response);
            return;
        }
        if (response.status() != 503) {
            log.warn("quota counter rejected a call", "status " + response.status());
        }
        call.report(Outcome.REJECTED, 0);
    }

    private static void handleTotal(CounterCall call, HttpMessage response) throws MalformedInputException {
        try {
            double total = Double.parseDouble(new String(response.body(), StandardCharsets.US_ASCII).strip());
            // NaN or infinity would corrupt every later calculation with the total.
            if (!Double.isFinite(total)) {
                throw new NumberFormatException();
            }
            call.report(Outcome.OK, total);
        } catch (NumberFormatException e) {
            call.report(Outcome.RESET, 0); // it was added, but the total is unknown
            throw new MalformedInputException("the total is not a finite number");
        }
    }

    @Override
    protected void onMalformed(String reason) {
        log.warn("malformed response from quota counter", reason);
        terminate();
    }

    /** Closes the connection; the next call uses a new one even if {@link #onClosed} has not been called yet. */
    private void terminate() {
        terminated = true;
        close();
    }

    /**
     * Handles the timeout of a call on this connection and returns its outcome. A response that has begun but does not
     * end would block all later responses as well, so the connection is then closed. If no response has begun, the
     * counter may only be slow.
     */
    Outcome handleCallTimeout() {
        if (!parser.isMidMessage()) {
            return Outcome.TIMEOUT;
        }
        onMalformed("incomplete response");
        return Outcome.RESET;
    }

    @Override
    protected void onClosed() {
        terminated = true;
        HttpMessage lastResponse = peerClosedCleanly() ? parser.endOfInput() : null;
        if (lastResponse != null && !inFlight.isEmpty()) {
            try {
                handleResponse(inFlight.poll(), lastResponse);
            } catch (MalformedInputException e) {
                log.warn("malformed response from quota counter", e.getMessage());
            }
        }
        for (CounterCall call = inFlight.poll(); call != null; call = inFlight.poll()) {
            call.report(Outcome.RESET, 0); // it may have been added
        }
        for (CounterCall call = queuedUntilOpen.poll(); call != null; call = queuedUntilOpen.poll()) {
            call.report(Outcome.CONNECT_FAILED, 0);
        }
    }

    /** Closes a connection whose peer may be unreachable, or that is idle and may be closed by the counter. */
    void closeIfUnresponsiveOrIdle(double now) {
        if (!isOpen()) {
            return;
        }
        CounterCall oldest = inFlight.peek();
        boolean unresponsive = oldest != null && now - oldest.startedAt() > RESPONSE_TIMEOUT_MS;
        boolean idle = oldest == null && now - lastUsedAt > IDLE_TIMEOUT_MS;
        if (unresponsive || idle) {
            terminate();
        }
    }
}
