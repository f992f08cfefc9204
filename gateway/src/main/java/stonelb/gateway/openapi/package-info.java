/**
 * Frontend for HTTP/1.1 requests whose routes, request classes and costs come from an OpenAPI description.
 *
 * <p>Responses of the gateway itself are problem documents (RFC 9457).
 */
package stonelb.gateway.openapi;
