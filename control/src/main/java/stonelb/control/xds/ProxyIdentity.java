package stonelb.control.xds;

import io.grpc.Attributes;
import io.grpc.Grpc;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/** Authorizes connections for nodes: a TLS connection for those that its certificate names, any other for all. */
public final class ProxyIdentity {
    // Types of subject alternative names, RFC 5280, 4.2.1.6
    private static final int DNS_NAME = 2;
    private static final int URI_NAME = 6;

    private ProxyIdentity() {}

    /** Whether the peer may act as the node. A TLS connection without a client certificate never may. */
    public static boolean isAuthorizedFor(Attributes connection, String node) {
        SSLSession session = connection.get(Grpc.TRANSPORT_ATTR_SSL_SESSION);
        if (session == null) {
            return true;
        }
        try {
            return session.getPeerCertificates()[0] instanceof X509Certificate certificate
                    && namesOf(certificate).contains(node);
        } catch (SSLPeerUnverifiedException e) {
            return false;
        }
    }

    /**
     * The names of a certificate: its common name and its DNS and URI alternative names (RFC 5280, 4.2.1.6). Empty if
     * a name can't be parsed.
     */
    private static Set<String> namesOf(X509Certificate certificate) {
        Set<String> names = new HashSet<>();
        try {
            addCommonName(certificate, names);
            addAlternativeNames(certificate, names);
        } catch (InvalidNameException | CertificateParsingException e) {
            names.clear();
        }
        return names;
    }

    private static void addCommonName(X509Certificate certificate, Set<String> names) throws InvalidNameException {
        LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
        for (Rdn part : subject.getRdns()) {
            if (part.getType().equalsIgnoreCase("CN")) {
                names.add(String.valueOf(part.getValue()));
            }
        }
    }

    private static void addAlternativeNames(X509Certificate certificate, Set<String> names)
            throws CertificateParsingException {
        Collection<List<?>> alternatives = certificate.getSubjectAlternativeNames();
        if (alternatives == null) {
            return;
        }
        for (List<?> alternative : alternatives) {
            Object type = alternative.get(0);
            if (type.equals(DNS_NAME) || type.equals(URI_NAME)) {
                names.add(String.valueOf(alternative.get(1)));
            }
        }
    }
}
