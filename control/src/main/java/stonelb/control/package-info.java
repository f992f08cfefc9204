/**
 * The control service: sends the engine's decisions to external proxies over xDS (resources) and RLQS (quota
 * assignments), and receives their load reports over LRS. Requests do not pass through it.
 *
 * <p>{@link stonelb.control.ControlService} owns the listening port and the event loop; {@code ControlPlane} owns the
 * state on that loop. All state is confined to the event loop and there are no locks; gRPC's threads only do I/O.
 */
package stonelb.control;
