package stonelb.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;

/** Calls of the counter client on a simulated clock, to a server socket on which the test responds as the counter. */
class CounterClientTest {
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> logLines = new LinkedBlockingQueue<>();
    private final EventLoop loop = new EventLoop(new RateLimitedLog(), clock::get);
    private final ServerSocket serverSocket;
    private final CounterClient client;
    private Socket socket;

    CounterClientTest() throws Exception {
        serverSocket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        serverSocket.setSoTimeout(20_000);
        client = new CounterClient(
                loop, new RateLimitedLog(logLines::add), (InetSocketAddress) serverSocket.getLocalSocketAddress(), 50);
        loop.execute(() ->
                client.start((name, outcome, latencyMs, total) -> results.add(name + " " + outcome + " " + total)));
    }

    @AfterEach
    void stop() throws Exception {
        serverSocket.close();
        if (socket != null) {
            socket.close();
        }
    }

    private void add(double amount) {
        loop.execute(() -> client.add(8, amount, 1000));
    }

    private String nextResult() throws InterruptedException {
        return results.poll(20, TimeUnit.SECONDS);
    }

    /** Reads one call and returns its request line. */
    private String readCall() throws Exception {
        if (socket == null) {
            socket = serverSocket.accept();
            socket.setSoTimeout(20_000);
        }
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            assertEquals(true, next >= 0, "connection closed within a call");
            text.append((char) next);
        }
        return text.substring(0, text.indexOf("\r\n"));
    }

    private void respond(int status, String body) throws Exception {
        respond(status, body, "");
    }

    private void respond(int status, String body, String trailing) throws Exception {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body + trailing)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    void responseAfterTimeoutIsNotMatchedToNextCall() throws Exception {
        add(5);
        assertEquals("POST /counters/8?by=5&expire_ms=1000 HTTP/1.1", readCall());
        clock.addAndGet(60);
        assertEquals("8 TIMEOUT 0.0", nextResult());
        add(-0.25);
        assertEquals("POST /counters/8?by=-0.25&expire_ms=1000 HTTP/1.1", readCall());
        respond(200, "5");
        respond(200, "4.75");
        assertEquals("8 OK 4.75", nextResult());
        assertNull(results.poll(), "the response after the timeout is not reported");
    }

    /** Without the log line, operators would not see a counter that is unresponsive or overloaded. */
    @Test
    void callTimeoutIsLogged() throws Exception {
        add(5);
        readCall();
        clock.addAndGet(60);
        assertEquals("8 TIMEOUT 0.0", nextResult());
        assertEquals("quota counter timeout: the call counts as added", logLines.poll(20, TimeUnit.SECONDS));
    }

    /** If the connection stayed in use, all calls behind the incomplete response would time out. */
    @Test
    void incompleteResponseClosesConnectionAndLaterCallsSucceed() throws Exception {
        for (String incompleteResponse :
                new String[] {"HTTP/1.1 200 X\r\nContent-Length: 40\r\n\r\n1", "noise without an end"}) {
            for (int i = 0; i < 3; i++) {
                add(5);
                readCall();
            }
            // One write, so that the second response has begun once the first one is reported.
            respond(200, "5", incompleteResponse);
            assertEquals("8 OK 5.0", nextResult());
            clock.addAndGet(60);
            assertEquals("8 RESET 0.0", nextResult());
            assertEquals("8 RESET 0.0", nextResult());
            socket = null;
            add(1);
            readCall();
            respond(200, "6");
            assertEquals("8 OK 6.0", nextResult());
        }
    }

    /**
     * A truncated total must not be accepted: without a length, only a close by the counter marks the end of the body.
     */
    @Test
    void totalWithoutContentLengthIsAcceptedAfterCloseButNotAfterReset() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            add(5);
            readCall();
            socket.getOutputStream().write("HTTP/1.1 200 X\r\n\r\n12".getBytes(StandardCharsets.US_ASCII));
            CompletableFuture<Void> read = new CompletableFuture<>();
            loop.execute(() -> loop.timers().scheduleAfter(0, (now, token) -> read.complete(null), 0));
            read.get(20, TimeUnit.SECONDS); // the loop reads between the write and the close
            socket.setSoLinger(reset, 0);
            socket.close();
            socket = null;
            assertEquals(reset ? "8 RESET 0.0" : "8 OK 12.0", nextResult());
        }
    }

    @Test
    void failedCallReportsWhetherAmountMayHaveBeenAdded() throws Exception {
        add(1);
        readCall();
        respond(503, "");
        assertEquals("8 REJECTED 0.0", nextResult());
        add(2);
        readCall();
        socket.close();
        assertEquals("8 RESET 0.0", nextResult(), "it may have been added");
        for (String invalidTotal : new String[] {"", "none", "NaN", "Infinity", "1 2"}) {
            socket = null;
            add(2);
            readCall();
            respond(200, invalidTotal);
            assertEquals("8 RESET 0.0", nextResult(), "it was added, but the total is unknown: " + invalidTotal);
            assertEquals(-1, socket.getInputStream().read(), "the connection is closed");
        }
        serverSocket.close();
        add(3);
        assertEquals("8 CONNECT_FAILED 0.0", nextResult(), "nothing was added");
    }
}
