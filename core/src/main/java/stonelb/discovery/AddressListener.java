package stonelb.discovery;

import java.net.InetSocketAddress;
import java.util.Set;

/** Listens for addresses of endpoints; called before the {@link EndpointListener} for each list. */
public interface AddressListener {

    /**
     * Takes what a list says of one endpoint.
     *
     * @param endpointId number of the endpoint
     * @param ready whether it takes new requests
     * @param startedAtMs when it started, on the event loop's clock; 0 for long ago. It changes with each restart that
     *     discovery reports, and only then
     */
    void addressChanged(long endpointId, String name, InetSocketAddress address, boolean ready, double startedAtMs);

    /** Takes the numbers of all endpoints of a complete list; those of other endpoints are not used again. */
    void retainOnly(Set<Long> endpointIds);
}
