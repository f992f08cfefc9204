package stonelb.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A platform of several plan servers that speak HTTP, with discovery and a quota counter, for gateways and proxies under
 * test. It may be changed while they run: servers can drain or be added, and the counter can stop responding.
 */
public final class StubFleet implements AutoCloseable {
    /** The plans of tests and of {@code try}: a small quota, one with a ceiling, and one that may be exceeded. */
    public static final String PLANS =
            "{\"name\":\"consulta\",\"unitsPerS\":2,\"depth\":8,\"worthFactor\":0.8,\"overrunCost\":1},"
                    + "{\"name\":\"centro\",\"unitsPerS\":4,\"depth\":16,\"capRate\":8,\"hardBurst\":32,\"hardSlack\":3.2,"
                    + "\"worthFactor\":1.3,\"overrunCost\":1},"
                    + "{\"name\":\"red\",\"unitsPerS\":10,\"depth\":20,\"worthFactor\":1.4,\"overWorth\":0.2}";

    /** An OpenAPI description with a read and a session log, as used by the customers' apps. */
    public static final String DESCRIPTION =
            """
            openapi: 3.1.0
            info: {title: plans, version: '1'}
            paths:
              /v1/plans/{id}:
                get: {operationId: read, x-stonelb-class: plan-read, responses: {}}
              /v1/sessions:
                post: {operationId: log, x-stonelb-class: session-log, responses: {}}
            """;

    private static final String CLASSES = StubConfiguration.requestClass("plan-read", 4000, 1000, "idempotent", 3) + ","
            + StubConfiguration.requestClass("session-log", 7500, 2000, "at_most_once", 2);

    private static final int FIRST_SUBNET = 20;
    private static final int SUBNETS = 200;
    private static final AtomicInteger NEXT_SUBNET = new AtomicInteger();

    /** The plans in the settings, as JSON objects separated by commas. */
    public String plans = PLANS;

    /** The requests received by plan servers, in order of arrival. */
    public final ConcurrentLinkedQueue<ReceivedRequest> receivedRequests = new ConcurrentLinkedQueue<>();

    /** Called with each request on its arrival. */
    public volatile Consumer<ReceivedRequest> onRequest = request -> {};

    /** The mean processing time of plan servers for a request, in milliseconds. */
    public volatile double meanWorkMs;

    /** Whether the counter reads calls without counting or answering them. */
    public volatile boolean counterUnresponsive;

    private final int subnet = FIRST_SUBNET + NEXT_SUBNET.getAndIncrement() % SUBNETS;
    private int lastHost;
    private int httpPort;
    private final Map<String, StubPlanServer> servers = new LinkedHashMap<>();
    private final List<String> changes = new ArrayList<>(); // the changed entries; positions are discovery indexes

    /** Discovery, which responds with the full list or with the changes after an index. */
    public final StubServer discovery = new StubServer(this::discover);

    /** The quota counter. */
    public final StubServer counter =
            new StubServer(new StubCounter(new TreeMap<>(), () -> counterUnresponsive, added -> {})::serve);

    /**
     * Starts plan servers s-0, s-1 and so on, discovery and the counter.
     *
     * @param planServers the number of plan servers
     */
    public StubFleet(int planServers) throws IOException {
        for (int index = 0; index < planServers; index++) {
            StubPlanServer server = startPlanServer("s-" + index);
            servers.put(server.name(), server);
        }
    }

    /** Starts a plan server. All share the free port chosen for the first and have different loopback addresses. */
    private StubPlanServer startPlanServer(String name) throws IOException {
        lastHost++;
        String host = "127." + subnet + ".0." + lastHost;
        StubPlanServer server = new StubPlanServer(name, host, httpPort, () -> meanWorkMs, this::recordRequest);
        httpPort = server.port();
        return server;
    }

    private void recordRequest(ReceivedRequest request) {
        receivedRequests.add(request);
        onRequest.accept(request);
    }

    /** Returns the plan server with a name, or null if there is none. */
    public synchronized StubPlanServer server(String name) {
        return servers.get(name);
    }

    /** Sets a plan server's status at discovery; {@code terminated} removes it from the list. */
    public synchronized void setStatus(String name, String status) {
        StubPlanServer server = servers.get(name);
        server.setStatus(status);
        addChange(server.discoveryEntry());
        if (status.equals("terminated")) {
            servers.remove(name);
        }
    }

    /** Adds a plan server that runs in another process. */
    public synchronized void addExternalServer(String name, String address) {
        StubPlanServer server = new StubPlanServer(name, address);
        servers.put(name, server);
        addChange(server.discoveryEntry());
    }

    /** Returns the port of all plan servers in this process. */
    public int httpPort() {
        return httpPort;
    }

    private void addChange(String entry) {
        changes.add(entry);
        notifyAll();
    }

    private synchronized String fullList() {
        List<String> entries =
                servers.values().stream().map(StubPlanServer::discoveryEntry).toList();
        return DiscoveryQuery.response(changes.size(), true, String.join(",", entries));
    }

    private void discover(InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            DiscoveryQuery query = DiscoveryQuery.parse(StubServer.readHttp(in).target());
            String body = query.watch() ? awaitChanges(query) : fullList();
            StubServer.write(out, StubServer.httpResponse(200, "", body));
        }
    }

    private synchronized String awaitChanges(DiscoveryQuery query) throws InterruptedException {
        query.awaitChange(this, () -> query.index() < changes.size());
        List<String> newer = changes.subList(Math.min(query.index(), changes.size()), changes.size());
        return DiscoveryQuery.response(changes.size(), false, String.join(",", newer));
    }

    /**
     * Returns the configuration of a gateway or control service on this platform.
     *
     * @param name its name
     * @param listen where it listens, HOST:PORT
     * @param gateways the number of gateways that share the quotas
     */
    public String config(String name, String listen, int gateways) {
        return new StubConfiguration(
                        name,
                        listen,
                        discovery.address(),
                        counter.address(),
                        fullList(),
                        4096,
                        gateways,
                        50,
                        1,
                        CLASSES,
                        plans)
                .toJson();
    }

    @Override
    public void close() throws IOException {
        discovery.close();
        counter.close();
        List<StubPlanServer> open;
        synchronized (this) {
            open = List.copyOf(servers.values());
        }
        for (StubPlanServer server : open) {
            server.close();
        }
    }
}
