/**
 * The client of the discovery service, which watches the list of endpoints by long polling over HTTP. Within the
 * package, {@link stonelb.discovery.EndpointList} parses the lists and informs its listeners; {@link
 * stonelb.discovery.EndpointStartTimes} converts the start times of endpoints to the event loop's clock.
 */
package stonelb.discovery;
