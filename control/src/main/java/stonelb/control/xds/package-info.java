/**
 * The aggregated discovery service (ADS): the resources published for each proxy, the streams that receive them, and
 * the state of the xDS protocol (subscriptions, nonces, ACK and NACK) for both variants, state of the world and
 * incremental.
 *
 * <p>{@link stonelb.control.xds.AdsServer} is the entry point. Everything runs on one event loop.
 */
package stonelb.control.xds;
