package stonelb.control;

import io.grpc.ServerCredentials;
import io.grpc.TlsServerCredentials;
import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonelb.config.InvalidConfigurationException;
import stonelb.io.FileFingerprint;

/**
 * Credentials for mutual TLS, from files that may be replaced while the service runs. The files are polled every
 * second, and new connections use the new content. If the files are not valid, the current content stays in use.
 */
final class TlsCredentials implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TlsCredentials.class);
    private static final long POLL_INTERVAL_MS = 1000;

    private final ControlSettings.Tls files;
    private final ScheduledExecutorService poller = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "certificates");
        thread.setDaemon(true);
        return thread;
    });
    private final AdvancedTlsX509KeyManager keyManager = new AdvancedTlsX509KeyManager();
    private final AdvancedTlsX509TrustManager trustManager;
    private final ServerCredentials serverCredentials;
    private List<FileFingerprint> fingerprints;

    /**
     * Reads the files and starts to poll them.
     *
     * @throws InvalidConfigurationException if a file can't be used
     */
    TlsCredentials(ControlSettings.Tls files) throws InvalidConfigurationException {
        this.files = files;
        try {
            trustManager = AdvancedTlsX509TrustManager.newBuilder()
                    .setVerification(AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
                    .build();
            fingerprints = readFingerprints();
            load();
            serverCredentials = TlsServerCredentials.newBuilder()
                    .keyManager(keyManager)
                    .trustManager(new AnyIssuerTrustManager(trustManager))
                    .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
                    .build();
        } catch (IOException | GeneralSecurityException | RuntimeException e) {
            poller.shutdownNow();
            throw new InvalidConfigurationException(
                    "'tls': a certificate, key or list of authorities can't be used: " + firstLine(e));
        }
        // The library's own timer is not used: it raises every period under a minute to one minute. The future is not
        // needed,
        // as close() shuts the poller down.
        ScheduledFuture<?> unused =
                poller.scheduleWithFixedDelay(this::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Loads the files if they have changed. An exception would end the scheduled task, so all are caught; fingerprints
     * are stored before loading, so that an invalid file is logged once and not every second.
     */
    private void poll() {
        try {
            List<FileFingerprint> current = readFingerprints();
            if (!current.equals(fingerprints)) {
                fingerprints = current;
                load();
                LOG.info("certificates reloaded");
            }
        } catch (IOException | GeneralSecurityException | RuntimeException e) {
            LOG.warn("certificates rejected, keeping the current ones: {}", firstLine(e));
        }
    }

    private List<FileFingerprint> readFingerprints() {
        return Arrays.asList(
                FileFingerprint.of(files.certificate()),
                FileFingerprint.of(files.key()),
                FileFingerprint.of(files.clients()));
    }

    private void load() throws IOException, GeneralSecurityException {
        TlsKeyMaterial material = TlsKeyMaterial.read(files);
        keyManager.updateIdentityCredentials(material.chain(), material.key());
        trustManager.updateTrustCredentials(material.authorities());
    }

    private static String firstLine(Exception exception) {
        return String.valueOf(exception.getMessage()).lines().findFirst().orElse("");
    }

    ServerCredentials serverCredentials() {
        return serverCredentials;
    }

    @Override
    public void close() {
        poller.shutdownNow();
    }
}
