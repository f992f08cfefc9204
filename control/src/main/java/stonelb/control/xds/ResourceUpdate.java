package stonelb.control.xds;

import java.util.List;
import java.util.Map;

/**
 * The content of a response.
 *
 * @param resources the resources to send, by name
 * @param removed names of resources that do not exist or no longer do; only in the incremental variant
 */
record ResourceUpdate(Map<String, VersionedMessage> resources, List<String> removed) {}
