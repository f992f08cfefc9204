/**
 * Client library of the control service, for proxies.
 *
 * <p>{@link stonelb.follower.ControlClient} connects to the control service and keeps three streams open: ADS for
 * listeners, routes, clusters and endpoints ({@code envoy.service.discovery.v3}), RLQS for quota assignments ({@code
 * envoy.service.rate_limit_quota.v3}) and LRS for load reports ({@code envoy.service.load_stats.v3}). From these it
 * decides for each request whether the proxy forwards it, and to which {@link stonelb.follower.EndpointPool}, or answers
 * it locally.
 *
 * <p>All state is confined to one executor thread of the client. Times are milliseconds.
 */
package stonelb.follower;
