/**
 * The gateway program: creates the components, starts them, reloads the configuration and shuts down gracefully.
 *
 * <p>{@link stonelb.gateway.Main} is the entry point. {@link stonelb.gateway.GatewayServer} connects the frontends,
 * the request table with its decision engine, the connections to endpoints, discovery and the quota counter; all of
 * them run on one event loop. {@code WarmUp} lets the JIT compile the code before the first client connects,
 * {@code ConfigurationReloader} handles SIGHUP, and {@code GracefulShutdown} handles SIGTERM.
 */
package stonelb.gateway;
