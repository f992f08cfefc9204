package stonelb.gateway.endpoint;

import stonelb.core.Response;
import stonelb.http.HttpMessage;

/**
 * The response of an endpoint that speaks HTTP, to be forwarded to the client.
 *
 * @param message the complete response
 */
public record HttpEndpointResponse(HttpMessage message) implements Response {}
