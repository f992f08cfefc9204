package stonelb.control.quota;

import java.util.LinkedHashSet;
import java.util.Set;
import stonelb.core.TimerQueue;

/**
 * Collects the changed leases of one proxy and sends at most one assignment for each, so that several changes by one
 * event are combined.
 */
final class PendingAssignments {
    private final TimerQueue timers;
    private final double timeToLiveMs;
    private final AssignmentListener listener;
    private final Set<QuotaLease> changedLeases = new LinkedHashSet<>();
    private boolean flushScheduled;
    private boolean closed;

    PendingAssignments(TimerQueue timers, double timeToLiveMs, AssignmentListener listener) {
        this.timers = timers;
        this.timeToLiveMs = timeToLiveMs;
        this.listener = listener;
    }

    void leaseChanged(QuotaLease lease) {
        changedLeases.add(lease);
    }

    /** Flushes with the next run of timers: one response of the counter may decide on many requests, one by one. */
    void flushLater() {
        if (!flushScheduled) {
            flushScheduled = true;
            timers.scheduleAfter(0, this::flushTimerFired, 0);
        }
    }

    private void flushTimerFired(double now, long token) {
        if (!closed) {
            flushScheduled = false;
            flush(now);
        }
    }

    /** Sends an assignment for each changed lease that needs one. */
    void flush(double now) {
        for (QuotaLease lease : changedLeases) {
            if (!closed && lease.needsAssignment(now, timeToLiveMs)) {
                long credit = lease.assign(now, timeToLiveMs);
                listener.onAssignment(new QuotaAssignment(lease.key(), credit, timeToLiveMs, false));
            }
        }
        changedLeases.clear();
    }

    /** Tells the proxy to drop a bucket. */
    void abandon(BucketKey key) {
        if (!closed) {
            listener.onAssignment(new QuotaAssignment(key, 0, 0, true));
        }
    }

    /** Stops sending assignments. */
    void close() {
        closed = true;
    }
}
