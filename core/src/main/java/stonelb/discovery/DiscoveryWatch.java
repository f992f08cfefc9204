package stonelb.discovery;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import stonelb.core.TimerCallback;
import stonelb.http.HttpMessage;
import stonelb.http.HttpParser;
import stonelb.io.Connection;
import stonelb.io.EventLoop;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/**
 * A watch on the endpoint list of a discovery service at one address, by long polling: one request after the other, each
 * with the version held, so that only changes are sent. It goes on until it is stopped.
 *
 * <p>After a failure the watch backs off (see {@link DiscoveryBackoff}), and its next request does not wait for a change,
 * so that a short timeout suffices. Without the random backoff, gateways that start or fail together would ask together,
 * and a service that cannot keep up would go on failing all of them.
 *
 * <p>A change has to arrive within 6 s of the time when the service had it and could be reached. The timeout of a silent
 * request, the backoff after it and the time to connect again add up to less, and so do a request without a response,
 * the longest backoff and the request after it.
 */
final class DiscoveryWatch implements TimerCallback {
    /** How long the service holds a request back while nothing has changed. */
    private static final int LONG_POLL_MS = 2000;

    /** How long after the long poll a response may take. */
    private static final int RESPONSE_GRACE_MS = 1000;

    /** Timeout of the first request on a connection, which may have to wait its turn among those of other gateways. */
    private static final int FIRST_RESPONSE_TIMEOUT_MS = 2000;

    /** The same for an agent that only this gateway asks. */
    private static final int AGENT_FIRST_RESPONSE_TIMEOUT_MS = 200;

    private static final int CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final int REQUEST_BYTES = 128;

    /** The version that stands for none: the service sends its complete list. */
    static final long NO_VERSION = -1;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final InetSocketAddress address;
    private final EndpointList endpoints;
    private final Runnable onUpdate;
    private final SplittableRandom random;
    private final int clientCount;
    private WatchConnection connection;
    private long version;
    private int consecutiveFailures;

    /** The request in flight is the first one, or the first after one without a response. */
    private boolean reconnecting = true;

    private boolean stopped;

    /** Number of the latest timer; earlier ones are ignored when they fire. */
    private long latestTimer;

    /**
     * Creates a watch that is not started.
     *
     * @param heldVersion the version of the list that {@code endpoints} has from the same service, -1 for none
     * @param clientCount how many gateways ask the same service
     * @param onUpdate runs after each response that was applied; after the first one the list is up to date
     */
    DiscoveryWatch(
            EventLoop loop,
            RateLimitedLog log,
            InetSocketAddress address,
            EndpointList endpoints,
            long heldVersion,
            int clientCount,
            SplittableRandom random,
            Runnable onUpdate) {
        this.loop = loop;
        this.log = log;
        this.address = address;
        this.endpoints = endpoints;
        version = heldVersion;
        this.clientCount = clientCount;
        this.random = random;
        this.onUpdate = onUpdate;
    }

    InetSocketAddress address() {
        return address;
    }

    void start() {
        connect();
    }

    void stop() {
        stopped = true;
        latestTimer++;
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void connect() {
        WatchConnection opening = new WatchConnection();
        connection = opening;
        loop.connect(address, CONNECT_TIMEOUT_MS, opening, connecting -> {
            if (!connecting.isSuccess()) {
                onFailure(opening, "it can't be reached");
            }
        });
    }

    private void applyList(HttpMessage response) throws MalformedInputException {
        version = endpoints.apply(response.body(), address);
        consecutiveFailures = 0;
        reconnecting = false;
        connection.answered = true;
        onUpdate.run();
    }

    /** Closes the connection and schedules the next one; ignored for a connection that is not the current one. */
    private void onFailure(WatchConnection failed, String reason) {
        if (failed != connection || stopped) {
            return;
        }
        log.warn("discovery unavailable", hostAndPort() + ", " + reason + "; using the last endpoint list");
        failed.close();
        connection = null;
        reconnecting = !failed.answered;
        setTimer(DiscoveryBackoff.delayMs(consecutiveFailures++, clientCount, random));
    }

    private void setTimer(double delayMs) {
        loop.timers().scheduleAfter(delayMs, this, ++latestTimer);
    }

    /** The end of a backoff, or the timeout of the request in flight. */
    @Override
    public void onTimer(double now, long token) {
        if (token != latestTimer) {
            return;
        }
        if (connection == null) {
            connect();
        } else if (connection.extendTimeout()) {
            setTimer(RESPONSE_GRACE_MS);
        } else {
            onFailure(connection, "it is silent");
        }
    }

    private double responseTimeoutMs() {
        if (!reconnecting) {
            return LONG_POLL_MS + RESPONSE_GRACE_MS;
        }
        return hasOwnAgent() ? AGENT_FIRST_RESPONSE_TIMEOUT_MS : FIRST_RESPONSE_TIMEOUT_MS;
    }

    /** Whether the service is an agent that only this gateway asks. */
    private boolean hasOwnAgent() {
        return clientCount == 1;
    }

    private String hostAndPort() {
        return address.getHostString() + ":" + address.getPort();
    }

    /** A connection to the discovery service. */
    private final class WatchConnection extends Connection {
        private final HttpParser parser = new HttpParser(true, MAX_RESPONSE_BYTES);
        private boolean answered;
        private boolean timeoutExtended;

        WatchConnection() {
            super(MAX_RESPONSE_BYTES, DiscoveryWatch.this.log);
        }

        @Override
        protected void onOpened() {
            if (this == connection) {
                sendRequest();
            } else {
                close(); // the watch was stopped while this connection opened
            }
        }

        private void sendRequest() {
            ByteBuf request = buffer(REQUEST_BYTES);
            String head = "GET /catalog/members" + query() + " HTTP/1.1\r\nHost: " + hostAndPort() + "\r\n\r\n";
            request.writeCharSequence(head, StandardCharsets.US_ASCII);
            var unused = send(request); // a failed write closes the connection
            answered = false;
            timeoutExtended = false;
            setTimer(responseTimeoutMs());
        }

        private String query() {
            return version < 0 ? "" : "?index=" + version + "&wait=" + (reconnecting ? 1 : LONG_POLL_MS);
        }

        /** Extends an agent's short timeout once, where its response, perhaps a long list, has begun to arrive. */
        private boolean extendTimeout() {
            boolean responseBegun = parser.isMidMessage() || in.size() > 0;
            boolean extended = reconnecting && hasOwnAgent() && !timeoutExtended && responseBegun;
            timeoutExtended |= extended;
            return extended;
        }

        @Override
        protected void onReceived() throws MalformedInputException {
            HttpMessage response = parser.next(in);
            if (response == null || this != connection) {
                return;
            }
            if (response.status() != 200) {
                onErrorStatus(response.status());
                return;
            }
            applyList(response);
            if (in.size() > 0) { // would be taken for the response to the next request
                throw new MalformedInputException("it answered what was not asked");
            }
            if (response.keepsAlive()) {
                sendRequest();
            } else {
                close(); // onClosed connects again
            }
        }

        /**
         * Asks for the complete list next time, since the service may no longer know our version and would repeat its
         * error. After a 5xx status the version is kept: the service is overloaded, and the complete list costs it most.
         */
        private void onErrorStatus(int status) {
            if (status / 100 != 5) {
                version = NO_VERSION;
            }
            onFailure(this, "it answered " + status);
        }

        @Override
        protected void onMalformed(String reason) {
            version = NO_VERSION;
            onFailure(this, reason);
        }

        @Override
        protected void onClosed() {
            HttpMessage last = peerEnded() ? parser.end() : null;
            if (last != null && last.status() == 200 && this == connection) {
                try {
                    applyList(last);
                } catch (MalformedInputException e) {
                    onFailure(this, e.getMessage());
                }
            }
            onFailure(this, "the connection ended");
        }
    }
}
