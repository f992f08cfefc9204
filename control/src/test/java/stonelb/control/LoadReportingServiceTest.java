package stonelb.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsRequest;
import io.envoyproxy.envoy.service.load_stats.v3.LoadStatsResponse;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Closing of load report streams. */
class LoadReportingServiceTest {
    private static final class RecordingObserver implements StreamObserver<LoadStatsResponse> {
        private final List<Status.Code> finalStatuses = new ArrayList<>();

        @Override
        public void onNext(LoadStatsResponse response) {}

        @Override
        public void onError(Throwable failure) {
            finalStatuses.add(Status.fromThrowable(failure).getCode());
        }

        @Override
        public void onCompleted() {
            finalStatuses.add(Status.Code.OK);
        }
    }

    /** Detects a second final status on a rejected stream, for which gRPC throws an exception. */
    @Test
    void rejectedStreamEndsOnceWhenTheProxyKeepsSending() {
        RecordingObserver responses = new RecordingObserver();
        StreamObserver<LoadStatsRequest> requests = new LoadReportingService(null, 1000).streamLoadStats(responses);
        requests.onNext(LoadStatsRequest.getDefaultInstance());
        requests.onNext(LoadStatsRequest.getDefaultInstance());
        requests.onCompleted();
        assertEquals(List.of(Status.Code.PERMISSION_DENIED), responses.finalStatuses);
    }
}
