package stonelb.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests by id that have no final response yet or have an attempt in flight. */
final class OpenRequests {
    private final TimerQueue timers;
    private final Map<Long, ClientRequest> requestsById = new HashMap<>();
    private long lastId;
    private int openCount;

    /** Creates an empty collection; {@code timers} holds the expiry timers of the requests. */
    OpenRequests(TimerQueue timers) {
        this.timers = timers;
    }

    /** Assigns the next id to a new request and counts it as open. */
    void add(ClientRequest request) {
        request.id = ++lastId;
        requestsById.put(request.id, request);
        openCount++;
    }

    /** The request with that id, or null if it is complete. */
    ClientRequest get(long id) {
        return requestsById.get(id);
    }

    /** The number of requests without a final response. */
    int openCount() {
        return openCount;
    }

    /** A copy, so that requests may complete during an iteration. */
    List<ClientRequest> snapshot() {
        return new ArrayList<>(requestsById.values());
    }

    /** Records that a request has its final response, or that its client has disconnected. */
    void markDone(ClientRequest request) {
        request.done = true;
        openCount--;
        timers.cancel(request.expiry);
    }

    /** Removes a request that is done and has no attempt in flight. */
    void removeIfComplete(ClientRequest request) {
        if (request.done && request.attemptInFlight == null) {
            requestsById.remove(request.id);
        }
    }
}
