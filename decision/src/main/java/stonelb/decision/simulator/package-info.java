/** The adapter between the decision engine and the simulator's frame protocol. */
package stonelb.decision.simulator;
