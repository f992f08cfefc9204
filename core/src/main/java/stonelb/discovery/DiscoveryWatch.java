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
 * Watches the endpoint list of the discovery service at one address by long polling: one request after the other, each
 * with the version held, so that only changes are sent. It continues until it is stopped.
 *
 * <p>After a failure the watch backs off (see {@link DiscoveryBackoff}), and its next request does not wait for a
 * change, so that a short timeout suffices. Without the random backoff, gateways that start or fail at the same time
 * would send their requests at the same time, and an overloaded service would keep failing for all of them.
 *
 * <p>A change must be received within 6 s of the time when the service had it and was reachable. The timeout of a
 * request without a response, the backoff after it and the time to reconnect add up to less, and so do a request
 * without a response, the longest backoff and the request after it.
 */
final class DiscoveryWatch implements TimerCallback {
    /** How long the service holds a request open while nothing changes. */
    private static final int LONG_POLL_MS = 2000;

    /** How much longer than the long poll a response may take. */
    private static final int RESPONSE_GRACE_MS = 1000;

    /** Timeout of the first request on a connection, which may be queued behind those of other gateways. */
    private static final int FIRST_RESPONSE_TIMEOUT_MS = 2000;

    /** The same for an agent that only this gateway uses. */
    private static final int AGENT_FIRST_RESPONSE_TIMEOUT_MS = 200;

    private static final int CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final int REQUEST_BYTES = 128;

    /** No version is held: the service sends its complete list. */
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

    /** Whether the request in flight is the first one, or the first after one without a response. */
    private boolean reconnecting = true;

    private boolean stopped;

    /** Token of the latest timer; earlier ones are ignored when they fire. */
    private long latestTimer;

    /**
     * Creates a watch that is not started.
     *
     * @param initialVersion version of the list that {@code endpoints} has from the same service, -1 for none
     * @param clientCount how many gateways use the same service
     * @param onUpdate runs after each response that was applied; after the first one the list is up to date
     */
    DiscoveryWatch(
            EventLoop loop,
            RateLimitedLog log,
            InetSocketAddress address,
            EndpointList endpoints,
            long initialVersion,
            int clientCount,
            SplittableRandom random,
            Runnable onUpdate) {
        this.loop = loop;
        this.log = log;
        this.address = address;
        this.endpoints = endpoints;
        version = initialVersion;
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
        WatchConnection newConnection = new WatchConnection();
        connection = newConnection;
        loop.connect(address, CONNECT_TIMEOUT_MS, newConnection, connectResult -> {
            if (!connectResult.isSuccess()) {
                onFailure(newConnection, "connection attempt failed");
            }
        });
    }

    private void applyList(HttpMessage response) throws MalformedInputException {
        version = endpoints.apply(response.body(), address);
        consecutiveFailures = 0;
        reconnecting = false;
        connection.responseReceived = true;
        onUpdate.run();
    }

    /** Closes the connection and schedules the next one; ignored for a connection that is not the current one. */
    private void onFailure(WatchConnection failedConnection, String reason) {
        if (failedConnection != connection || stopped) {
            return;
        }
        log.warn("discovery unavailable", hostAndPort() + ", " + reason + "; using the last endpoint list");
        failedConnection.close();
        connection = null;
        reconnecting = !failedConnection.responseReceived;
        setTimer(DiscoveryBackoff.delayMs(consecutiveFailures++, clientCount, random));
    }

    private void setTimer(double delayMs) {
        loop.timers().scheduleAfter(delayMs, this, ++latestTimer);
    }

    /** Handles the end of a backoff, or the timeout of the request in flight. */
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
            onFailure(connection, "no response in time");
        }
    }

    private double responseTimeoutMs() {
        if (!reconnecting) {
            return LONG_POLL_MS + RESPONSE_GRACE_MS;
        }
        return usesLocalAgent() ? AGENT_FIRST_RESPONSE_TIMEOUT_MS : FIRST_RESPONSE_TIMEOUT_MS;
    }

    /** Whether the service is an agent that only this gateway uses. */
    private boolean usesLocalAgent() {
        return clientCount == 1;
    }

    private String hostAndPort() {
        return address.getHostString() + ":" + address.getPort();
    }

    /** A connection to the discovery service. */
    private final class WatchConnection extends Connection {
        private final HttpParser parser = new HttpParser(true, MAX_RESPONSE_BYTES);
        private boolean responseReceived;
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
            responseReceived = false;
            timeoutExtended = false;
            setTimer(responseTimeoutMs());
        }

        private String query() {
            return version < 0 ? "" : "?index=" + version + "&wait=" + (reconnecting ? 1 : LONG_POLL_MS);
        }

        /** Extends an agent's short timeout once if its response has begun to arrive, since the list may be long. */
        private boolean extendTimeout() {
            boolean responseStarted = parser.isMidMessage() || in.size() > 0;
            boolean extended = reconnecting && usesLocalAgent() && !timeoutExtended && responseStarted;
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
            if (in.size() > 0) { // would be mistaken for the response to the next request
                throw new MalformedInputException("response without a request");
            }
            if (response.keepsAlive()) {
                sendRequest();
            } else {
                close(); // onClosed connects again
            }
        }

        /**
         * Requests the complete list next time, since the service may no longer know the version held and would repeat
         * its error. After a 5xx status the version is kept: the service is overloaded, and the complete list is the
         * most expensive response.
         */
        private void onErrorStatus(int status) {
            if (status / 100 != 5) {
                version = NO_VERSION;
            }
            onFailure(this, "status " + status);
        }

        @Override
        protected void onMalformed(String reason) {
            version = NO_VERSION;
            onFailure(this, reason);
        }

        @Override
        protected void onClosed() {
            HttpMessage lastResponse = peerClosedCleanly() ? parser.endOfInput() : null;
            if (lastResponse != null && lastResponse.status() == 200 && this == connection) {
                try {
                    applyList(lastResponse);
                } catch (MalformedInputException e) {
                    onFailure(this, e.getMessage());
                }
            }
            onFailure(this, "connection closed");
        }
    }
}
