package stonelb.discovery;

import java.net.InetSocketAddress;
import java.util.Set;

/** Listens for addresses of endpoints; called before the {@link EndpointListener} for each list. */
public interface AddressListener {

    /**
     * Called for each entry of a list that has an address.
     *
     * @param endpointId id of the endpoint
     * @param ready whether it accepts new requests
     * @param startedAtMs when it started, on the event loop's clock; 0 for long ago. It changes
     *     exactly when discovery reports a restart
     */
    void addressChanged(long endpointId, String name, InetSocketAddress address, boolean ready, double startedAtMs);

    /** Called with the ids of all endpoints of a complete list; other ids are not used again. */
    void retainOnly(Set<Long> endpointIds);
}
