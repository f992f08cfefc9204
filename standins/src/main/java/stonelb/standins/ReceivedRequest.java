package stonelb.standins;

/**
 * A request received by a stub plan server.
 *
 * @param server the name of the plan server
 * @param customer the header X-Customer; empty if absent
 * @param via the header X-Via; empty if absent
 * @param id the header X-Id; empty if absent
 * @param atMs when it arrived, in milliseconds on the clock of {@link System#nanoTime}
 */
public record ReceivedRequest(String server, String customer, String via, String id, double atMs) {}
