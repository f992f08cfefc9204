package stonelb.follower;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;

/**
 * Decides on requests by the current routes and quotas. Requests whose bucket needs an assignment are queued until it
 * arrives or their deadline passes.
 */
final class RequestRouter {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final double DENIED_RETRY_AFTER_MS = 1000;

    /** A request that waits for a quota assignment. */
    private record WaitingRequest(
            ClusterRoute route, BucketSelection bucket, Consumer<RoutingDecision> callback, double deadlineMs) {}

    private final ProxyResources resources;
    private final QuotaTable quotas;
    private final double maxQuotaWaitMs;
    private final DoubleConsumer usageChanged;
    private final ArrayDeque<WaitingRequest> waitingRequests = new ArrayDeque<>();

    /**
     * Creates a router.
     *
     * @param resources routes and pools
     * @param quotas quota buckets
     * @param maxQuotaWaitMs how long a request may wait for an assignment, in milliseconds; 0 to reject the request immediately
     * @param usageChanged called with the current time after a new request has been charged to a bucket
     */
    RequestRouter(ProxyResources resources, QuotaTable quotas, double maxQuotaWaitMs, DoubleConsumer usageChanged) {
        this.resources = resources;
        this.quotas = quotas;
        this.maxQuotaWaitMs = maxQuotaWaitMs;
        this.usageChanged = usageChanged;
    }

    /** Decides on a request, immediately or after it has waited for an assignment; calls the callback exactly once. */
    void decide(ProxyRequest request, Consumer<RoutingDecision> callback) {
        RouteTable routeTable = resources.routeTable();
        RouteAction action = routeTable == null ? null : routeTable.match(request.path(), request.headers());
        if (action instanceof ClusterRoute route) {
            decideByQuota(request, route, callback);
        } else if (action instanceof DirectResponse response) {
            callback.accept(new RoutingDecision.LocalReply(response.status(), 0));
        } else {
            callback.accept(new RoutingDecision.LocalReply(SERVICE_UNAVAILABLE, 0));
        }
    }

    private void decideByQuota(ProxyRequest request, ClusterRoute route, Consumer<RoutingDecision> callback) {
        BucketSelection bucket = BucketSelection.select(route.bucketMatcher(), request.headers());
        if (bucket == null) {
            callback.accept(forward(route));
            return;
        }
        double nowMs = MonotonicClock.nowMs();
        boolean mayWait = maxQuotaWaitMs > 0;
        switch (quotas.tryAcquire(nowMs, bucket.bucketId(), bucket.settings(), mayWait, true)) {
            case ALLOW -> callback.accept(forward(route));
            case DENY -> callback.accept(deny(bucket));
            case WAIT -> waitingRequests.add(new WaitingRequest(route, bucket, callback, nowMs + maxQuotaWaitMs));
        }
        usageChanged.accept(nowMs);
    }

    /** Retries the waiting requests in order. Those past their deadline are allowed or denied and wait no longer. */
    void retryWaitingRequests(double nowMs) {
        for (int remaining = waitingRequests.size(); remaining > 0; remaining--) {
            WaitingRequest waiting = waitingRequests.poll();
            BucketSelection bucket = waiting.bucket();
            boolean mayWait = nowMs < waiting.deadlineMs();
            QuotaDecision decision = quotas.tryAcquire(nowMs, bucket.bucketId(), bucket.settings(), mayWait, false);
            if (decision == QuotaDecision.ALLOW) {
                waiting.callback().accept(forward(waiting.route()));
            } else if (mayWait) {
                waitingRequests.add(waiting);
            } else {
                waiting.callback().accept(deny(bucket));
            }
        }
    }

    private RoutingDecision forward(ClusterRoute route) {
        EndpointPool pool = resources.pools().get(route.cluster());
        if (pool == null) {
            return new RoutingDecision.LocalReply(SERVICE_UNAVAILABLE, 0);
        }
        return new RoutingDecision.Forward(route, pool);
    }

    private static RoutingDecision deny(BucketSelection bucket) {
        return new RoutingDecision.LocalReply(bucket.denyStatus(), DENIED_RETRY_AFTER_MS);
    }
}
