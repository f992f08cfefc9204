package stonelb.control;

import com.google.protobuf.ListValue;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import java.util.List;
import java.util.Map;
import stonelb.control.quota.BucketStatus;
import stonelb.control.quota.ProxyQuota;
import stonelb.control.xds.StreamStatus;
import stonelb.control.xds.SubscriptionStatus;

/** Builds the Struct that describes the state of the service for {@code control status}. */
final class StatusReport {
    private static final double NOT_FINITE = -1;

    private StatusReport() {}

    static Value text(String text) {
        return Value.newBuilder().setStringValue(text).build();
    }

    /** A number value; -1 if the number is not finite. */
    static Value number(double number) {
        return Value.newBuilder()
                .setNumberValue(Double.isFinite(number) ? number : NOT_FINITE)
                .build();
    }

    static Value number(long number) {
        return Value.newBuilder().setNumberValue((double) number).build();
    }

    static Value list(List<Struct> structs) {
        ListValue.Builder list = ListValue.newBuilder();
        structs.forEach(struct -> list.addValues(Value.newBuilder().setStructValue(struct)));
        return Value.newBuilder().setListValue(list).build();
    }

    /** One proxy: its leases in units of the quota, the ages of its reports in ms, and its streams. */
    static Struct proxy(RegisteredProxy proxy, List<StreamStatus> streams, double now) {
        ProxyQuota quota = proxy.quota();
        double leased = 0;
        double granted = 0;
        double used = 0;
        for (BucketStatus bucket : quota.bucketStatuses()) {
            double cost = bucket.key().cost();
            leased += bucket.outstandingCredit() * cost;
            granted += bucket.granted() * cost;
            used += bucket.used() * cost;
        }
        double disconnectedMs = proxy.disconnectedMs(now);
        return Struct.newBuilder()
                .putFields("node", text(proxy.node()))
                .putFields("buckets", number(quota.bucketCount()))
                .putFields("leased", number(leased))
                .putFields("granted", number(granted))
                .putFields("used", number(used))
                .putFields("drift", number(Math.max(0, used - granted)))
                .putFields("reportAgeMs", number(Math.rint(now - proxy.lastUsageReportAt())))
                .putFields("loadAgeMs", number(Math.rint(now - quota.lastLoadReportAt())))
                .putFields("awayMs", number(Double.isNaN(disconnectedMs) ? 0 : Math.rint(disconnectedMs)))
                .putFields("oddReports", number(proxy.implausibleReports()))
                .putFields(
                        "streams",
                        list(streams.stream().map(StatusReport::stream).toList()))
                .build();
    }

    private static Struct stream(StreamStatus status) {
        Struct.Builder stream = Struct.newBuilder()
                .putFields("peer", text(status.peer()))
                .putFields("variant", text(status.incremental() ? "incremental" : "state of the world"));
        for (Map.Entry<String, SubscriptionStatus> entry :
                status.subscriptions().entrySet()) {
            Value subscription = Value.newBuilder()
                    .setStructValue(subscription(entry.getValue()))
                    .build();
            stream.putFields(entry.getKey(), subscription);
        }
        return stream.build();
    }

    private static Struct subscription(SubscriptionStatus status) {
        Struct.Builder subscription = Struct.newBuilder()
                .putFields("sent", text(status.sent()))
                .putFields("acknowledged", text(status.acknowledged()))
                .putFields("nacks", number(status.nacks()))
                .putFields("bytes", number(status.bytes()))
                .putFields("subscribed", number(status.subscribed()));
        if (status.rejected() != null) {
            subscription.putFields("rejected", text(status.rejected()));
        }
        return subscription.build();
    }
}
