/**
 * The command line: one class per command of {@code ./stonelb}, and the measurements behind {@code measure}, which
 * run stub platforms, gateways, a control service and proxies in this process.
 */
package stonelb.cli;
