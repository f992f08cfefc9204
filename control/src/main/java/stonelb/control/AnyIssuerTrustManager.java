package stonelb.control;

import java.net.Socket;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedTrustManager;

/**
 * Sends no list of accepted issuers to clients and delegates every check to another trust manager. A server's list of
 * accepted issuers is fixed when it starts, so a client whose certificate was issued by an authority added afterwards
 * would not find its issuer in the list and would send no certificate.
 */
final class AnyIssuerTrustManager extends X509ExtendedTrustManager {
    private final X509ExtendedTrustManager delegate;

    AnyIssuerTrustManager(X509ExtendedTrustManager delegate) {
        this.delegate = delegate;
    }

    @Override
    public X509Certificate[] getAcceptedIssuers() {
        return new X509Certificate[0];
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type) throws CertificateException {
        delegate.checkClientTrusted(chain, type);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type, Socket socket) throws CertificateException {
        delegate.checkClientTrusted(chain, type, socket);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine engine) throws CertificateException {
        delegate.checkClientTrusted(chain, type, engine);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type) throws CertificateException {
        delegate.checkServerTrusted(chain, type);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type, Socket socket) throws CertificateException {
        delegate.checkServerTrusted(chain, type, socket);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine engine) throws CertificateException {
        delegate.checkServerTrusted(chain, type, engine);
    }
}
