package stonelb.io;

import java.net.ConnectException;

/**
 * The result of a connect.
 *
 * @param cause why it failed, or null if the connection is open
 * @param failedImmediately whether the system failed the call itself, before the network could answer
 */
public record ConnectResult(Throwable cause, boolean failedImmediately) {

    /** Whether the connection is open. */
    public boolean isSuccess() {
        return cause == null;
    }

    /**
     * Whether the failure is local and says nothing about the peer: no socket, local port or route was available (ENFILE,
     * ENOBUFS, EADDRNOTAVAIL, ENETUNREACH). On the loopback interface a refusal by the peer may be immediate too.
     */
    public boolean isLocalFailure() {
        return failedImmediately && !(cause instanceof ConnectException);
    }
}
