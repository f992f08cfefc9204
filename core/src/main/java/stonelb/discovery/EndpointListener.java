package stonelb.discovery;

import java.util.List;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;

/** Listens for updates of the endpoint list. */
public interface EndpointListener {

    /** Called with an update, which is a complete list or a delta. */
    void endpointsChanged(EndpointListType type, List<Endpoint> endpoints);
}
