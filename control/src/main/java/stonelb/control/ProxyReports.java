package stonelb.control;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import stonelb.config.Configuration;
import stonelb.control.quota.BucketKey;
import stonelb.control.quota.BucketLimits;
import stonelb.control.quota.InvalidBucketException;
import stonelb.control.quota.ProxyQuota;
import stonelb.control.resources.ResourceFactory;

/** Checks the usage and load reports of proxies and passes them to the quota of the proxy. */
final class ProxyReports {
    private static final Pattern TIER_CLUSTER = Pattern.compile(ResourceFactory.CLUSTER_PREFIX + "\\d{1,3}");

    private final Configuration configuration;
    private final ProxyRegistry registry;
    private final EndpointDirectory directory;
    private final int maxBuckets;
    private final BucketLimits limits;

    ProxyReports(Configuration configuration, ProxyRegistry registry, EndpointDirectory directory, int maxBuckets) {
        this.configuration = configuration;
        this.registry = registry;
        this.directory = directory;
        this.maxBuckets = maxBuckets;
        limits = new BucketLimits(
                configuration.plans(),
                configuration.settings().gateways(),
                configuration.settings().maxUnits());
    }

    /**
     * Processes the usage of a bucket. An invalid bucket, or one over the limit, is counted as an implausible report
     * and ignored.
     */
    void usageReported(String node, UsageReport report) {
        RegisteredProxy proxy = registry.getOrRegister(node);
        proxy.markUsageReport();
        BucketKey key;
        try {
            key = BucketKey.parse(report.bucketId(), limits);
        } catch (InvalidBucketException e) {
            proxy.recordImplausibleReport(node + ": " + e.getMessage());
            return;
        }
        ProxyQuota quota = proxy.quota();
        if (quota.bucketCount() >= maxBuckets && !quota.hasBucket(key)) {
            proxy.recordImplausibleReport(node + ": more than " + maxBuckets + " buckets");
            return;
        }
        quota.usageReported(key, report.allowed(), report.denied(), report.elapsedMs());
    }

    /** Processes the load of an endpoint; an unlisted endpoint or an unregistered proxy is ignored. */
    void loadReported(String node, EndpointLoadReport report) {
        Long endpoint = directory.idAt(report.address());
        RegisteredProxy proxy = registry.get(node);
        if (endpoint != null && proxy != null) {
            proxy.quota()
                    .loadReported(
                            endpoint,
                            report.succeeded(),
                            report.failed(),
                            report.inFlight(),
                            report.totalLatencyMs(),
                            report.measured());
        }
    }

    /**
     * Processes the requests issued to the cluster of a tier, divided evenly among the request classes routed to it.
     */
    void requestsIssued(String node, String cluster, long issued) {
        RegisteredProxy proxy = registry.get(node);
        if (proxy == null || !TIER_CLUSTER.matcher(cluster).matches()) {
            return;
        }
        int tier = Integer.parseInt(cluster.substring(ResourceFactory.CLUSTER_PREFIX.length()));
        List<Integer> classes = classesRoutedTo(tier, proxy.quota());
        classes.forEach(requestClass -> proxy.quota().classObserved(requestClass, issued / classes.size()));
    }

    private List<Integer> classesRoutedTo(int tier, ProxyQuota quota) {
        List<Integer> classes = new ArrayList<>();
        for (int requestClass = 0; requestClass < configuration.classes().size(); requestClass++) {
            if (isRoutedTo(tier, requestClass, quota)) {
                classes.add(requestClass);
            }
        }
        return classes;
    }

    private boolean isRoutedTo(int tier, int requestClass, ProxyQuota quota) {
        for (int plan = 0; plan < configuration.plans().size(); plan++) {
            if (quota.tierOf(requestClass, plan) == tier) {
                return true;
            }
        }
        return false;
    }
}
