/**
 * Quota leases and endpoint weights for proxies that are controlled over xDS.
 *
 * <p>{@link stonelb.control.quota.ProxyQuota} holds the state of one proxy. Its usage reports become simulated requests
 * to a decision engine, and the requests that the engine forwards are granted to the proxy as leases: a number of
 * requests and the time for which it is valid. {@link stonelb.control.quota.CounterMultiplexer} shares one client of
 * the quota counter among the engines of all proxies.
 *
 * <p>The package does no I/O, reads the time from {@link stonelb.core.TimerQueue} alone and runs on one thread.
 */
package stonelb.control.quota;
