package stonelb.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;

/** The latest state of each endpoint in the endpoint list. */
final class EndpointStates {
    private final Map<Long, EndpointState> statesById = new HashMap<>();

    /** Applies a list: a delta changes the endpoints that it names, any other list replaces all. */
    void update(EndpointListType type, List<Endpoint> endpoints) {
        if (type != EndpointListType.DELTA) {
            statesById.clear();
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.REMOVED) {
                statesById.remove(endpoint.id());
            } else {
                statesById.put(endpoint.id(), endpoint.state());
            }
        }
    }

    /** Whether the endpoint is listed and accepts new requests. */
    boolean isReady(long endpointId) {
        return statesById.get(endpointId) == EndpointState.READY;
    }
}
