/**
 * A small HTTP/1.1 proxy that is configured by the control service, for tests, demonstrations and measurements.
 *
 * <p>{@link stonelb.proxy.StubProxy} replaces a production proxy such as Envoy. It listens on the loopback interface
 * only.
 */
package stonelb.proxy;
