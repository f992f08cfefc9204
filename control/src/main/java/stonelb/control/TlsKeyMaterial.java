package stonelb.control;

import io.grpc.util.CertificateUtils;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.X509Certificate;

/**
 * The content of the three TLS files: the service's key and certificate chain, and the authorities that sign its
 * clients' certificates.
 */
final class TlsKeyMaterial {
    private final X509Certificate[] chain;
    private final PrivateKey key;
    private final X509Certificate[] authorities;

    private TlsKeyMaterial(X509Certificate[] chain, PrivateKey key, X509Certificate[] authorities) {
        this.chain = chain;
        this.key = key;
        this.authorities = authorities;
    }

    /**
     * Reads all three files.
     *
     * @throws IOException if a file can't be read
     * @throws GeneralSecurityException if a file is not valid, or the key does not match the certificate: this happens
     *     while the two files are replaced one after the other
     */
    static TlsKeyMaterial read(ControlSettings.Tls files) throws IOException, GeneralSecurityException {
        X509Certificate[] chain = readCertificates(files.certificate());
        X509Certificate[] authorities = readCertificates(files.clients());
        PrivateKey key;
        try (InputStream in = Files.newInputStream(files.key())) {
            key = CertificateUtils.getPrivateKey(in);
        }
        if (!isKeyOf(key, chain[0])) {
            throw new GeneralSecurityException(files.key() + " is not the key of " + files.certificate());
        }
        return new TlsKeyMaterial(chain, key, authorities);
    }

    /** Whether the certificate verifies a signature made with the key. */
    private static boolean isKeyOf(PrivateKey key, X509Certificate certificate) throws GeneralSecurityException {
        Signature signature = Signature.getInstance(signatureAlgorithm(key));
        byte[] content = certificate.getEncoded();
        signature.initSign(key);
        signature.update(content);
        byte[] signed = signature.sign();
        signature.initVerify(certificate.getPublicKey());
        signature.update(content);
        return signature.verify(signed);
    }

    private static String signatureAlgorithm(PrivateKey key) {
        return switch (key.getAlgorithm()) {
            case "RSA" -> "SHA256withRSA";
            case "EC" -> "SHA256withECDSA";
            default -> key.getAlgorithm();
        };
    }

    private static X509Certificate[] readCertificates(Path file) throws IOException, GeneralSecurityException {
        try (InputStream in = Files.newInputStream(file)) {
            X509Certificate[] certificates = CertificateUtils.getX509Certificates(in);
            if (certificates.length == 0) {
                throw new GeneralSecurityException(file + " contains no certificate");
            }
            return certificates;
        }
    }

    X509Certificate[] chain() {
        return chain;
    }

    PrivateKey key() {
        return key;
    }

    X509Certificate[] authorities() {
        return authorities;
    }
}
