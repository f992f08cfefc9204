package stonelb.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;

/** The latest entry of each endpoint in the endpoint list. */
final class EndpointStates {
    private final Map<Long, Endpoint> endpointsById = new HashMap<>();

    /** Applies a list: a delta changes the endpoints that it names, any other list replaces all. */
    void update(EndpointListType type, List<Endpoint> endpoints) {
        if (type != EndpointListType.DELTA) {
            endpointsById.clear();
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.REMOVED) {
                endpointsById.remove(endpoint.id());
            } else {
                endpointsById.put(endpoint.id(), endpoint);
            }
        }
    }

    /** When the endpoint's process started, 0 for long ago or if it is not listed. */
    double startedAtMs(long endpointId) {
        Endpoint endpoint = endpointsById.get(endpointId);
        return endpoint == null ? 0 : endpoint.startedAtMs();
    }

    /** Whether the endpoint is listed, accepts new requests, and is still the process that started at that time. */
    boolean isReady(long endpointId, double startedAtMs) {
        Endpoint endpoint = endpointsById.get(endpointId);
        return endpoint != null && endpoint.state() == EndpointState.READY && endpoint.startedAtMs() == startedAtMs;
    }
}
