/**
 * The xDS resources (v3) for proxies: listeners, routes, clusters and endpoints, built from the API description, the
 * settings, and the slot limits and weights of the decision engine.
 *
 * <p>{@link stonelb.control.resources.ResourceFactory} is the entry point, with one package-private factory for each
 * resource type behind it. All of them are deterministic and do no I/O: equal input gives equal bytes.
 */
package stonelb.control.resources;
