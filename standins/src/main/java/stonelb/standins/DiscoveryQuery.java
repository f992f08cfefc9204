package stonelb.standins;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A request to the discovery service.
 *
 * @param watch whether it waits for changes after an index, instead of asking for the full list
 * @param index the last index that the caller has seen; -1 for a request for the full list
 * @param waitMs how long a watch may be held open, in milliseconds; 0 for a request for the full list
 */
record DiscoveryQuery(boolean watch, int index, long waitMs) {

    /** Reads the parameters of a request target. */
    static DiscoveryQuery parse(String target) {
        if (!target.contains("index=")) {
            return new DiscoveryQuery(false, -1, 0);
        }
        int index = Integer.parseInt(target.replaceAll(".*index=(\\d+).*", "$1"));
        long waitMs = Long.parseLong(target.replaceAll(".*wait=(\\d+).*", "$1"));
        return new DiscoveryQuery(true, index, waitMs);
    }

    /**
     * Waits until there is a change or the watch times out.
     *
     * @param monitor the lock held by the caller, notified on changes
     * @param changed whether there is a change that the caller has not seen
     */
    void awaitChange(Object monitor, BooleanSupplier changed) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (!changed.getAsBoolean()) {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                return;
            }
            TimeUnit.NANOSECONDS.timedWait(monitor, remainingNanos);
        }
    }

    /** Returns the body of a response. */
    static String response(int index, boolean snapshot, String endpoints) {
        return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + endpoints + "]}";
    }

    /** Returns the JSON object of an endpoint; {@code sinceMs} is its start time in Unix milliseconds. */
    static String endpoint(String name, String address, String status, Number sinceMs) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,"
                + "\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
    }
}
