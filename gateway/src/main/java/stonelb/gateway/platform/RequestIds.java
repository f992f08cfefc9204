package stonelb.gateway.platform;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import stonelb.io.MalformedInputException;

/**
 * The ids of open requests, and of earlier ones that may have been executed and must not be executed again. Clients use
 * a new id for each request; an id that comes again is a request that was sent twice.
 */
final class RequestIds {
    /** How long an executed id is retained; longer than a client waits for a response. */
    static final double RETENTION_MS = 60_000;

    /** Limit on the executed ids; the oldest one is dropped. */
    static final int MAX_EXECUTED = 16_384;

    private final Set<String> open = new HashSet<>();

    /** The times until which ids are retained, oldest first. */
    private final Map<String, Double> executed = new LinkedHashMap<>();

    /**
     * Reserves the id of a new request until {@link #close}.
     *
     * @throws MalformedInputException if another request with this id is open or may have been executed
     */
    void open(String id, double now) throws MalformedInputException {
        dropExpired(now);
        if (executed.containsKey(id)) {
            throw new MalformedInputException("a request with this id may have run");
        }
        if (!open.add(id)) {
            throw new MalformedInputException("a request with this id is open");
        }
    }

    /**
     * Releases the id of a request that has ended.
     *
     * @param mayNotRunAgain whether the request may have been executed and is not idempotent
     */
    void close(String id, boolean mayNotRunAgain, double now) {
        open.remove(id);
        if (mayNotRunAgain) {
            executed.put(id, now + RETENTION_MS);
            dropExpired(now);
        }
    }

    private void dropExpired(double now) {
        Iterator<Double> oldestFirst = executed.values().iterator();
        while (oldestFirst.hasNext() && (oldestFirst.next() <= now || executed.size() > MAX_EXECUTED)) {
            oldestFirst.remove();
        }
    }
}
