package stonelb.cli;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends the same generated traffic to all compared deployments at once and records what reaches their plan servers. */
final class TrafficReplay {
    /** Means that no proxy fails during the traffic. */
    static final int NO_PROXY = -1;

    /** The time that a load balancer in front of the proxies takes to detect a failed one. */
    private static final double FAILURE_DETECTION_MS = 1000;

    private static final int DEPLOYMENTS = 3;
    private static final int DRAIN_POLLS = 500;
    private static final int DRAIN_POLL_MS = 10;

    private final ComparedDeployments deployments;
    private final List<GeneratedRequest> requests;
    private final int failingProxy;
    private final Runnable atHalfTime;
    private final DriftRecorder proxyDrift = new DriftRecorder();
    private final DriftRecorder gatewayDrift = new DriftRecorder();
    private final Map<Integer, Integer> proxyStatuses = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> gatewayStatuses = new ConcurrentHashMap<>();
    private final AtomicInteger inFlight = new AtomicInteger();

    /**
     * Prepares a replay.
     *
     * @param requests the traffic, ordered by time
     * @param failingProxy the entry point whose requests are dropped in every deployment from half time until the failure
     *     is detected, and then sent to the next entry point; its proxy is closed at the end. {@link #NO_PROXY} for none
     * @param atHalfTime run on its own thread after half of the traffic
     */
    TrafficReplay(
            ComparedDeployments deployments, List<GeneratedRequest> requests, int failingProxy, Runnable atHalfTime) {
        this.deployments = deployments;
        this.requests = requests;
        this.failingProxy = failingProxy;
        this.atHalfTime = atHalfTime;
    }

    /** The proxies, compared with the gateways. */
    DriftRecorder proxyDrift() {
        return proxyDrift;
    }

    /** The second set of gateways, compared with the first. */
    DriftRecorder gatewayDrift() {
        return gatewayDrift;
    }

    /** The number of responses through proxies by HTTP status; status 0 stands for no response. */
    Map<Integer, Integer> proxyStatuses() {
        return proxyStatuses;
    }

    /** The number of responses through gateways by HTTP status; status 0 stands for no response. */
    Map<Integer, Integer> gatewayStatuses() {
        return gatewayStatuses;
    }

    /** Sends the traffic in real time and waits for the responses. */
    void run() throws InterruptedException {
        double startMs = MonotonicClock.nowMs();
        recordArrivals(startMs);
        double halfTimeMs = requests.get(requests.size() - 1).atMs() / 2;
        boolean halfTimePassed = false;
        for (GeneratedRequest request : requests) {
            MonotonicClock.sleepUntil(startMs + request.atMs());
            if (!halfTimePassed && request.atMs() > halfTimeMs) {
                halfTimePassed = true;
                new Thread(atHalfTime, "half-time").start();
            }
            if (request.entryPoint() != failingProxy || request.atMs() <= halfTimeMs) {
                send(request, request.entryPoint());
            } else if (request.atMs() >= halfTimeMs + FAILURE_DETECTION_MS) {
                send(request, (request.entryPoint() + 1) % ComparedDeployments.ENTRY_POINTS);
            }
        }
        awaitResponses();
        if (failingProxy != NO_PROXY) {
            deployments.proxy(failingProxy).close();
        }
        clearReceivedRequests();
    }

    private void recordArrivals(double startMs) {
        deployments.gateways().platform().onRequest = request -> {
            proxyDrift.recordReference(request.customer(), request.atMs() - startMs);
            gatewayDrift.recordReference(request.customer(), request.atMs() - startMs);
        };
        deployments.secondGateways().platform().onRequest =
                request -> gatewayDrift.recordCandidate(request.customer(), request.atMs() - startMs);
        deployments.proxies().platform().onRequest =
                request -> proxyDrift.recordCandidate(request.customer(), request.atMs() - startMs);
    }

    private void clearReceivedRequests() {
        deployments.gateways().platform().receivedRequests.clear();
        deployments.secondGateways().platform().receivedRequests.clear();
        deployments.proxies().platform().receivedRequests.clear();
    }

    private void send(GeneratedRequest request, int entryPoint) {
        inFlight.addAndGet(DEPLOYMENTS);
        int spread = ComparedDeployments.ENTRY_POINTS;
        deployments.gateways().send(deployments.gatewayPort(entryPoint), request, spread, status -> {
            inFlight.decrementAndGet();
            gatewayStatuses.merge(status, 1, Integer::sum);
        });
        deployments
                .secondGateways()
                .send(deployments.secondGatewayPort(entryPoint), request, spread, status -> inFlight.decrementAndGet());
        deployments.proxies().send(deployments.proxy(entryPoint).port(), request, spread, status -> {
            inFlight.decrementAndGet();
            proxyStatuses.merge(status, 1, Integer::sum);
        });
    }

    private void awaitResponses() throws InterruptedException {
        for (int poll = 0; poll < DRAIN_POLLS && inFlight.get() > 0; poll++) {
            Thread.sleep(DRAIN_POLL_MS);
        }
    }
}
