package stonelb.control;

import io.grpc.Status;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonelb.control.quota.AssignmentListener;
import stonelb.control.quota.ProxyQuota;
import stonelb.control.quota.QuotaAssignment;
import stonelb.core.TimerQueue;

/** A proxy that uses this service: its quota, its quota stream and the time at which it disconnected. */
final class RegisteredProxy {
    private static final Logger LOG = LoggerFactory.getLogger(RegisteredProxy.class);
    private static final int IMPLAUSIBLE_REPORTS_PER_LOG_LINE = 1000;

    /** Creates the quota of a new proxy. */
    interface QuotaFactory {
        ProxyQuota create(AssignmentListener assignments, Consumer<String> implausibleReports);
    }

    private final String node;
    private final TimerQueue timers;
    private final ProxyQuota quota;
    private AssignmentOutbox outbox; // of the current quota stream, or null
    private boolean flushScheduled;
    private double disconnectedAt = Double.NaN; // NaN while a stream is open
    private double lastUsageReportAt = Double.NEGATIVE_INFINITY;
    private int[] publishedSlots = {};
    private long implausibleReports;

    RegisteredProxy(String node, TimerQueue timers, QuotaFactory quotas) {
        this.node = node;
        this.timers = timers;
        quota = quotas.create(this::onAssignment, this::recordImplausibleReport);
    }

    String node() {
        return node;
    }

    ProxyQuota quota() {
        return quota;
    }

    /** Sets the current quota stream; an older one is closed with ABORTED. */
    void openQuotaStream(AssignmentOutbox opened) {
        if (outbox != null) {
            outbox.close(Status.ABORTED.withDescription("a newer stream of this node takes its place"));
        }
        outbox = opened;
        quota.setReachable(true);
    }

    /** Removes the current quota stream without closing it; nothing is leased until a new one is opened. */
    void removeQuotaStream() {
        outbox = null;
        quota.setReachable(false);
    }

    boolean hasQuotaStream() {
        return outbox != null;
    }

    /** The current quota stream, or null. */
    AssignmentOutbox quotaStream() {
        return outbox;
    }

    void markConnected() {
        disconnectedAt = Double.NaN;
    }

    void markDisconnected() {
        disconnectedAt = timers.now();
    }

    /** How long the proxy has had no stream, in ms; NaN while it has one. */
    double disconnectedMs(double now) {
        return now - disconnectedAt;
    }

    void markUsageReport() {
        lastUsageReportAt = timers.now();
    }

    /** When its last usage report arrived, in ms of the event loop's clock; negative infinity before the first. */
    double lastUsageReportAt() {
        return lastUsageReportAt;
    }

    int[] publishedSlots() {
        return publishedSlots;
    }

    void setPublishedSlots(int[] slots) {
        publishedSlots = slots;
    }

    long implausibleReports() {
        return implausibleReports;
    }

    /** Counts an implausible report and logs one in a thousand, beginning with the first. */
    void recordImplausibleReport(String reason) {
        if (implausibleReports++ % IMPLAUSIBLE_REPORTS_PER_LOG_LINE == 0) {
            LOG.warn("implausible report, limited to the lease: {} ({} so far)", reason, implausibleReports);
        }
    }

    /** Queues an assignment; those of one event loop iteration are sent in one message. */
    private void onAssignment(QuotaAssignment assignment) {
        if (outbox == null) {
            return; // disconnected: the fallback quota applies, and the next usage report gets a new assignment
        }
        outbox.add(assignment, timers.now());
        if (!flushScheduled) {
            flushScheduled = true;
            timers.scheduleAfter(0, this::flush, 0);
        }
    }

    private void flush(double now, long token) {
        flushScheduled = false;
        if (outbox != null) {
            outbox.flush();
        }
    }
}
