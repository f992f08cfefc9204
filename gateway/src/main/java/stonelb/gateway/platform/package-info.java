/**
 * Frontend for the platform's RESP2 commands {@code Q.ASK} and {@code Q.DO}.
 *
 * <p>A request is forwarded unchanged, except for the remaining time in its field list.
 */
package stonelb.gateway.platform;
