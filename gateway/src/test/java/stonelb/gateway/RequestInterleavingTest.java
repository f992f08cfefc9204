package stonelb.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonelb.gateway.testing.EventLoopTasks;
import stonelb.gateway.testing.InProcessGateway;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubServer;

/**
 * Random interleavings of requests, partial reads and writes, resets, disconnects and a graceful shutdown. Each request
 * read from a client that stays connected must get exactly one response, its own and in order; no attempt may be sent
 * for a client that has disconnected.
 */
class RequestInterleavingTest {
    private static final int CLIENTS = 12;
    private static final int REQUESTS_PER_CLIENT = 25;

    /** The limit of 100 ms, doubled to allow for delays of the test's threads on a busy machine. */
    private static final double MAX_MS_AFTER_DISCONNECT = 200;

    @TempDir
    Path folder;

    private final Map<String, Double> lastReceivedAt = new ConcurrentHashMap<>(); // at an endpoint, by request id
    private final List<String> violations = Collections.synchronizedList(new ArrayList<>());

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** An endpoint that fails in some way for about every fourth request. */
    private StubServer startEndpoint(long seed) throws IOException {
        Random seeds = new Random(seed);
        return new StubServer((in, out) -> {
            Random random;
            synchronized (seeds) {
                random = new Random(seeds.nextLong());
            }
            while (serveOne(random, in, out)) {
                // the next request
            }
        });
    }

    /** Returns whether the connection is kept. */
    private boolean serveOne(Random random, InputStream in, OutputStream out) throws IOException, InterruptedException {
        String id = StubServer.readCommand(in).get(2);
        lastReceivedAt.put(id, nowMs());
        Thread.sleep(random.nextInt(12));
        String response = "*1\r\n$" + id.length() + "\r\n" + id + "\r\n";
        switch (random.nextInt(16)) {
            case 0 -> {
                return false;
            }
            case 1 -> {
                StubServer.write(out, response.substring(0, 7));
                return false;
            }
            case 2 -> StubServer.write(out, "-BUSY\r\n");
            case 3 -> StubServer.write(out, "-ERR failed\r\n");
            case 4 -> {
                StubServer.write(out, response);
                Thread.sleep(random.nextInt(6));
                StubServer.write(out, response);
            }
            case 5 -> {
                StubServer.write(out, response.substring(0, 5));
                Thread.sleep(random.nextInt(5));
                StubServer.write(out, response.substring(5));
            }
            default -> StubServer.write(out, response);
        }
        return true;
    }

    /** One client on one connection, which disconnects at random or stays connected to the end. */
    private final class RandomClient implements Runnable {
        private final Random random;
        private final String name;
        private final InProcessGateway gateway;
        private final Map<String, Long> endOffsets = new LinkedHashMap<>(); // of the requests sent, in order
        private long bytesWritten;
        private int responses;

        RandomClient(long seed, String name, InProcessGateway gateway) {
            random = new Random(seed);
            this.name = name;
            this.gateway = gateway;
        }

        @Override
        public void run() {
            boolean disconnects = random.nextInt(3) == 0;
            int requestsToSend = disconnects ? random.nextInt(REQUESTS_PER_CLIENT) : REQUESTS_PER_CLIENT;
            try (Client client = new Client(gateway.port())) {
                int port = client.socket.getLocalPort();
                try {
                    exchange(client, requestsToSend);
                    if (disconnects) {
                        disconnect(client);
                        return;
                    }
                    awaitResponses(client, endOffsets.size());
                } catch (SocketTimeoutException e) {
                    violations.add(name + " timed out waiting after " + responses + " responses");
                } catch (IOException e) {
                    checkRequestsReadAreAnswered(port);
                }
            } catch (IOException | InterruptedException e) {
                violations.add(name + ": " + e);
            }
        }

        private void exchange(Client client, int requests) throws IOException, InterruptedException {
            while (endOffsets.size() < requests) {
                StringBuilder batch = new StringBuilder();
                for (int i = random.nextInt(4); i >= 0; i--) {
                    String id = name + "-" + endOffsets.size();
                    batch.append(InProcessGateway.request(id));
                    endOffsets.put(id, bytesWritten + batch.length());
                }
                writeInParts(client, batch.toString());
                awaitResponses(client, endOffsets.size() - random.nextInt(3));
            }
        }

        private void writeInParts(Client client, String text) throws IOException, InterruptedException {
            int start = 0;
            while (start < text.length()) {
                int end = random.nextBoolean()
                        ? text.length()
                        : Math.min(text.length(), start + 1 + random.nextInt(text.length()));
                client.write(text.substring(start, end));
                bytesWritten += end - start;
                start = end;
                Thread.sleep(random.nextInt(3));
            }
        }

        private void awaitResponses(Client client, int count) throws IOException {
            List<String> ids = new ArrayList<>(endOffsets.keySet());
            while (responses < count) {
                String response = StubServer.readResp(client.in);
                String id = ids.get(responses++);
                if (!response.equals(id) && !response.startsWith("-BUSY") && !response.equals("-ERR failed")) {
                    violations.add(id + " got " + response);
                }
            }
        }

        /** Disconnects with requests in flight, one of them possibly incomplete. */
        private void disconnect(Client client) throws IOException, InterruptedException {
            String id = name + "-last";
            String request = InProcessGateway.request(id);
            client.write(request.substring(0, random.nextInt(request.length())));
            if (random.nextBoolean()) {
                client.socket.setSoLinger(true, 0);
            }
            client.close();
            double disconnectedAt = nowMs();
            Thread.sleep(600);
            for (String sent : endOffsets.keySet()) {
                double afterMs = lastReceivedAt.getOrDefault(sent, 0.0) - disconnectedAt;
                if (afterMs > MAX_MS_AFTER_DISCONNECT) {
                    violations.add(sent + " was sent " + afterMs + " ms after its client had disconnected");
                }
            }
            if (lastReceivedAt.containsKey(id)) {
                violations.add(id + " was sent, though it was incomplete");
            }
        }

        /** Checks that the gateway, which has closed the connection, answered every request that it read. */
        private void checkRequestsReadAreAnswered(int port) {
            long bytesRead = gateway.channels.bytesReadByPort.getOrDefault(port, 0L);
            int index = 0;
            for (Map.Entry<String, Long> request : endOffsets.entrySet()) {
                if (index++ >= responses && request.getValue() <= bytesRead) {
                    violations.add(request.getKey() + " was read and got no response");
                }
            }
        }
    }

    /** Closes connections while the event loop is blocked repeatedly, so that it finds many events at once. */
    private static void closeGracefully(InProcessGateway gateway, List<Thread> threads, Random random)
            throws Exception {
        gateway.run(gateway.frontend()::startDraining);
        while (threads.stream().anyMatch(Thread::isAlive)) {
            gateway.blockLoopDuring(() -> Thread.sleep(random.nextInt(20)));
            EventLoopTasks.awaitIteration(gateway.loop());
            gateway.run(() -> gateway.frontend().closeIdleConnections(false));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void everyRequestReadIsAnsweredOnceUnlessItsClientDisconnects(long seed) throws Exception {
        Random random = new Random(seed);
        try (StubServer first = startEndpoint(random.nextLong());
                StubServer second = startEndpoint(random.nextLong());
                StubServer third = startEndpoint(random.nextLong());
                InProcessGateway gateway = new InProcessGateway(folder, first.port(), second.port(), third.port())) {
            gateway.channels.maxReadBytes = 1 + random.nextInt(200);
            gateway.channels.maxWriteBytes = 1 + random.nextInt(200);
            gateway.channels.failingAccepts.set(random.nextInt(4));
            gateway.channels.failingConnects.set(random.nextInt(4));
            gateway.channels.failingSockets.set(random.nextInt(2));
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                threads.add(new Thread(new RandomClient(random.nextLong(), "c" + i, gateway)));
            }
            threads.forEach(Thread::start);
            Thread.sleep(100 + random.nextInt(300));
            closeGracefully(gateway, threads, random);
            assertEquals(List.of(), violations);
            assertTrue(gateway.logLines.stream().noneMatch(line -> line.contains("internal error")));
        }
    }
}
