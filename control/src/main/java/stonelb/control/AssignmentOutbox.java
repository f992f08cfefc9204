package stonelb.control;

import io.envoyproxy.envoy.service.rate_limit_quota.v3.RateLimitQuotaResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import java.util.LinkedHashMap;
import java.util.Map;
import stonelb.control.quota.BucketKey;
import stonelb.control.quota.QuotaAssignment;

/**
 * Assignments pending on one quota stream. While the proxy does not read, a newer assignment of a bucket replaces the
 * older one, so the number of pending assignments is bounded by the number of buckets.
 */
final class AssignmentOutbox {
    private final ServerCallStreamObserver<RateLimitQuotaResponse> stream;
    private final AssignmentEncoder encoder;
    private final Map<BucketKey, QuotaAssignment> pending = new LinkedHashMap<>();
    private double oldestPendingAt;
    private boolean closed;

    AssignmentOutbox(ServerCallStreamObserver<RateLimitQuotaResponse> stream, AssignmentEncoder encoder) {
        this.stream = stream;
        this.encoder = encoder;
    }

    void add(QuotaAssignment assignment, double now) {
        if (pending.isEmpty()) {
            oldestPendingAt = now;
        }
        pending.put(assignment.key(), assignment);
    }

    /** Sends all pending assignments in one message if the stream is ready. */
    void flush() {
        if (closed || pending.isEmpty() || !stream.isReady()) {
            return;
        }
        RateLimitQuotaResponse.Builder response = RateLimitQuotaResponse.newBuilder();
        pending.values().forEach(assignment -> response.addBucketAction(encoder.toBucketAction(assignment)));
        pending.clear();
        stream.onNext(response.build());
    }

    /** How long the oldest assignment has been pending, in ms; 0 if none is pending. */
    double oldestPendingMs(double now) {
        return pending.isEmpty() ? 0 : now - oldestPendingAt;
    }

    /** Ends the stream with a status; further calls do nothing. */
    void close(Status status) {
        if (closed) {
            return;
        }
        closed = true;
        pending.clear();
        if (stream.isCancelled()) {
            return;
        }
        if (status.isOk()) {
            stream.onCompleted();
        } else {
            stream.onError(status.asRuntimeException());
        }
    }
}
