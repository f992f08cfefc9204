/**
 * The decisions of a gateway: which requests it admits, rejects, forwards and retries, and to which endpoints.
 *
 * <p>{@link stonelb.decision.DecisionEngine} is the interface to the host, which passes on events and carries out the
 * actions. {@link stonelb.decision.DefaultDecisionEngine} implements it. It has three parts: leases of a
 * customer's quota from a counter that all gateways share, slots for attempts in flight that are split among priority
 * tiers, and the health and load of endpoints.
 */
package stonelb.decision;
