package stonelb.gateway.testing;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import stonelb.config.Configuration;
import stonelb.core.Attempt;
import stonelb.core.EndpointConnector;
import stonelb.core.MemoryBudget;
import stonelb.core.RequestTable;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.gateway.endpoint.EndpointConnections;
import stonelb.gateway.platform.PlatformFrontend;
import stonelb.io.EventLoop;
import stonelb.io.RateLimitedLog;
import stonelb.standins.GatewayProcess;
import stonelb.standins.GatewayProcess.Client;
import stonelb.standins.StubPlatform;
import stonelb.testing.FaultyChannels;
import stonelb.testing.SteppingClock;

/**
 * Runs the network code of a gateway in this process, with the platform's frontend and endpoints that the test
 * serves. The test can inject channel failures and advance the clock. Customers have no quota.
 */
public final class InProcessGateway implements AutoCloseable {
    private static final long TIMEOUT_S = 20;
    private static final int CONNECT_TIMEOUT_MS = 5000;
    private static final double IDLE_TIMEOUT_MS = 30_000;

    /** The memory for messages, as with the heap of the deploy file. */
    private static final long MEMORY_BYTES = 18L << 20;

    /** The channels of the event loop. */
    public final FaultyChannels channels = new FaultyChannels();

    /** The clock of the event loop. */
    public final SteppingClock clock = new SteppingClock();

    /** The log lines of the gateway. */
    public final List<String> logLines = new CopyOnWriteArrayList<>();

    /** The started attempts, in the order in which the request table passed them to the connections. */
    public final BlockingQueue<Attempt> startedAttempts = new LinkedBlockingQueue<>();

    /** The attempts that were abandoned. */
    public final BlockingQueue<Attempt> abandonedAttempts = new LinkedBlockingQueue<>();

    /** Called on the event loop after each attempt was started. */
    public volatile Runnable onStarted = () -> {};

    private final RateLimitedLog log = new RateLimitedLog(logLines::add);
    private final EventLoop loop = new EventLoop(log, clock, channels, new MemoryBudget(MEMORY_BYTES));
    private final Configuration configuration;
    private RequestTable requests;
    private PlatformFrontend frontend;
    private int port;

    /**
     * Starts a gateway.
     *
     * @param folder the folder in which the configuration is written
     * @param endpointPorts the port of 127.0.0.1 of each endpoint
     */
    public InProcessGateway(Path folder, int... endpointPorts) throws Exception {
        try (StubPlatform platform = new StubPlatform()) {
            Files.writeString(
                    folder.resolve("config.json"), platform.config("127.0.0.1:0", GatewayProcess.UNLIMITED_PLAN));
        }
        configuration = Configuration.read(
                Map.of("PROXY_CONFIG", folder.resolve("config.json").toString()));
        run(() -> createComponents(endpointPorts));
        port = frontend.listen(configuration.listen()).getPort();
    }

    private void createComponents(int... endpointPorts) {
        EndpointConnections connections =
                new EndpointConnections(loop, log, CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS, 64, 0);
        requests = new RequestTable(
                configuration.settings(),
                1,
                loop.timers(),
                recordingConnector(connections),
                (name, amount, keepMs) -> {},
                log::internalError);
        connections.start(requests);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int endpointPort : endpointPorts) {
            long id = endpoints.size() + 1L;
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), endpointPort);
            connections.addressChanged(id, "s" + id, address, true, 0);
            endpoints.add(new Endpoint(id, EndpointState.READY, 0, 1, 0, 0));
        }
        requests.endpointsChanged(EndpointListType.SNAPSHOT, endpoints);
        frontend = new PlatformFrontend(loop, log, requests, configuration, 100, () -> true);
    }

    private EndpointConnector recordingConnector(EndpointConnections connections) {
        return new EndpointConnector() {
            @Override
            public void send(Attempt attempt) {
                startedAttempts.add(attempt);
                connections.send(attempt);
                onStarted.run();
            }

            @Override
            public boolean abandon(Attempt attempt) {
                abandonedAttempts.add(attempt);
                return connections.abandon(attempt);
            }
        };
    }

    /** The event loop that owns the components. */
    public EventLoop loop() {
        return loop;
    }

    /** The request table; to be used on the event loop. */
    public RequestTable requests() {
        return requests;
    }

    /** The frontend; to be used on the event loop. */
    public PlatformFrontend frontend() {
        return frontend;
    }

    /** The port of the frontend. */
    public int port() {
        return port;
    }

    /** Connects a client and waits until the gateway has accepted it. */
    public Client connectClient() throws Exception {
        Client client = new Client(port);
        client.call("PING");
        return client;
    }

    /** Runs a task on the event loop and waits for it. */
    public void run(Runnable task) throws Exception {
        EventLoopTasks.run(loop, task);
    }

    /** An action of the test while the event loop is blocked. */
    public interface ExternalAction {
        /** Runs on the thread of the test. */
        void run() throws Exception;
    }

    /**
     * Blocks the event loop while an action runs, so that the loop handles all effects of the action in one
     * iteration.
     */
    public void blockLoopDuring(ExternalAction action) throws Exception {
        blockLoopDuring(action, () -> {});
    }

    /**
     * Blocks the event loop while an action runs, then runs {@code beforeRead} on the loop before it reads any input.
     */
    public void blockLoopDuring(ExternalAction action, Runnable beforeRead) throws Exception {
        CompletableFuture<Void> loopBlocked = new CompletableFuture<>();
        CompletableFuture<Void> released = new CompletableFuture<>();
        CompletableFuture<Void> finished = CompletableFuture.runAsync(
                () -> {
                    loopBlocked.complete(null);
                    released.join();
                    beforeRead.run();
                },
                loop::execute);
        loopBlocked.get(TIMEOUT_S, TimeUnit.SECONDS);
        try {
            action.run();
        } finally {
            released.complete(null);
        }
        finished.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** An idempotent request in RESP2 whose client waits for 9 s; its body is its id. */
    public static String request(String id) {
        String[] arguments = {"Q.ASK", "0000000000000001", id, "c=read,t=open,d=9000,units=1,spread=1,first=0", id};
        StringBuilder text = new StringBuilder("*" + arguments.length + "\r\n");
        for (String argument : arguments) {
            text.append('$')
                    .append(argument.length())
                    .append("\r\n")
                    .append(argument)
                    .append("\r\n");
        }
        return text.toString();
    }

    @Override
    public void close() {
        loop.shutdown();
    }
}
