package stonelb.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The requests without a final answer, and answered ones that still have attempts in flight. */
final class OpenRequests {
    private final Map<Long, OpenRequest> open = new LinkedHashMap<>();
    private final Map<Long, OpenRequest> draining = new LinkedHashMap<>();

    void add(OpenRequest request) {
        open.put(request.id(), request);
    }

    /** The request without a final answer of this id, null if there is none. */
    OpenRequest open(long id) {
        return open.get(id);
    }

    /** The request of this id, answered or not; null if it is unknown. */
    OpenRequest find(long id) {
        OpenRequest request = open.get(id);
        return request != null ? request : draining.get(id);
    }

    boolean isOpen(OpenRequest request) {
        return open.containsKey(request.id());
    }

    /** A copy in order of arrival, which can be iterated while requests are closed. */
    List<OpenRequest> snapshot() {
        return List.copyOf(open.values());
    }

    /** Closes a request; it is kept until its attempts in flight have ended. */
    void close(long id) {
        OpenRequest request = open.remove(id);
        if (request != null && request.inFlight() > 0) {
            draining.put(id, request);
        }
    }

    /** Marks a request as answered by one of its attempts. */
    void markAnswered(OpenRequest request) {
        open.remove(request.id());
        draining.put(request.id(), request);
    }

    /** Removes a request whose last attempt has ended if it was answered; returns whether it was. */
    boolean removeDrained(OpenRequest request) {
        return draining.remove(request.id()) != null;
    }
}
