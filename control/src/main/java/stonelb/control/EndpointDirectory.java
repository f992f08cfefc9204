package stonelb.control;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntFunction;
import stonelb.control.resources.EndpointResource;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.discovery.AddressListener;

/** The endpoints that discovery lists, with their names and addresses. */
final class EndpointDirectory implements AddressListener {
    private static final int DEFAULT_WEIGHT = 1;

    private record NamedAddress(String name, InetSocketAddress address) {}

    private final Map<Long, NamedAddress> addresses = new HashMap<>();
    private final Map<String, Long> idsByAddress = new HashMap<>();
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    private IntFunction<String> zoneNames;

    /** Sets the function that maps a zone's number to its name. */
    void setZoneNames(IntFunction<String> zoneNames) {
        this.zoneNames = zoneNames;
    }

    @Override
    public void addressChanged(long endpoint, String name, InetSocketAddress address, boolean ready, double since) {
        NamedAddress previous = addresses.put(endpoint, new NamedAddress(name, address));
        if (previous != null) {
            idsByAddress.remove(hostAndPort(previous.address()), endpoint);
        }
        idsByAddress.put(hostAndPort(address), endpoint);
    }

    @Override
    public void retainOnly(Set<Long> listed) {
        addresses.keySet().retainAll(listed);
        idsByAddress.values().retainAll(listed);
    }

    /** Applies a snapshot of the endpoint list or a change to it. */
    void apply(EndpointListType type, List<Endpoint> list) {
        if (type != EndpointListType.DELTA) {
            endpoints.clear();
        }
        for (Endpoint endpoint : list) {
            if (endpoint.state() == EndpointState.REMOVED) {
                remove(endpoint.id());
            } else {
                endpoints.put(endpoint.id(), endpoint);
            }
        }
    }

    private void remove(long id) {
        endpoints.remove(id);
        addresses.remove(id);
        idsByAddress.values().remove(id);
    }

    /** All endpoints, ordered by id. */
    List<Endpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /** The id of the endpoint at {@code host:port}, or null if the list has none. */
    Long idAt(String address) {
        return idsByAddress.get(address);
    }

    int readyCount() {
        return (int) endpoints.values().stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY)
                .count();
    }

    /** The endpoints as resources, with one proxy's weights by endpoint id. */
    List<EndpointResource> resources(Map<Long, Integer> weights) {
        List<EndpointResource> resources = new ArrayList<>();
        for (Endpoint endpoint : endpoints.values()) {
            NamedAddress named = addresses.get(endpoint.id());
            if (named != null) {
                resources.add(new EndpointResource(
                        named.name(),
                        named.address().getHostString(),
                        named.address().getPort(),
                        zoneNames.apply(endpoint.zone()),
                        endpoint.state() == EndpointState.DRAINING,
                        weights.getOrDefault(endpoint.id(), DEFAULT_WEIGHT)));
            }
        }
        return resources;
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
