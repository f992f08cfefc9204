package stonelb.follower;

import java.io.File;

/**
 * Settings of a {@link ControlClient}.
 *
 * @param node node id of the proxy; with TLS it must appear in the client certificate
 * @param host address on which the control service listens
 * @param port port on which the control service listens
 * @param incremental whether to use the incremental (delta) variant of ADS instead of state of the world
 * @param tls files for mutual TLS, or null for plaintext
 * @param maxQuotaWaitMs how long a request may wait for a quota assignment when its bucket is empty, in milliseconds; 0
 *     to reject it at once
 */
public record ClientOptions(String node, String host, int port, boolean incremental, Tls tls, double maxQuotaWaitMs) {

    /**
     * Files in PEM form for mutual TLS.
     *
     * @param certificate certificate chain of the proxy
     * @param key private key of the proxy
     * @param trustedAuthorities certificates of the authorities that sign the control service's certificate
     */
    public record Tls(File certificate, File key, File trustedAuthorities) {}
}
