package stonelb.io;

import java.net.ConnectException;

/**
 * How a connect ended.
 *
 * @param cause why it failed, or null if the connection is open
 * @param failedAtOnce whether the system failed the call itself, before the network could answer
 */
public record ConnectResult(Throwable cause, boolean failedAtOnce) {

    /** Whether the connection is open. */
    public boolean isSuccess() {
        return cause == null;
    }

    /**
     * Whether the failure tells nothing of the peer: no socket, local port or route could be had (ENFILE, ENOBUFS,
     * EADDRNOTAVAIL, ENETUNREACH). On the loopback interface a peer's refusal may come at once too.
     */
    public boolean isLocalFailure() {
        return failedAtOnce && !(cause instanceof ConnectException);
    }
}
