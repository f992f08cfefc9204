package stonelb.follower;

import java.util.Map;

/**
 * A request as the proxy received it.
 *
 * @param method HTTP method
 * @param path path without the query, as received
 * @param headers first value of each header, by name in lower case; includes {@code :method}
 */
public record ProxyRequest(String method, String path, Map<String, String> headers) {}
