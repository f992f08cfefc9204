package stonelb.control.resources;

/**
 * An endpoint in the form in which proxies receive it.
 *
 * @param name the same as in discovery and in load reports
 * @param address a literal IP address
 * @param port the TCP port
 * @param zone the name of its zone
 * @param draining whether it finishes its requests in flight and accepts no new ones
 * @param weight the load balancing weight, from 1 to 128; without effect while it is draining
 */
public record EndpointResource(String name, String address, int port, String zone, boolean draining, int weight) {}
