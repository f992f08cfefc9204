/** The client of the quota counter that all gateways share, over pipelined HTTP connections. */
package stonelb.counter;
