package stonelb.cli;

import ch.qos.logback.classic.PatternLayout;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import net.logstash.logback.encoder.LogstashEncoder;

/**
 * Encodes log events as JSON objects, one per line, or as plain text if the system property {@code stonelb.log} is
 * {@code text}, which the launcher sets if standard error is a terminal.
 */
public final class LineEncoder extends EncoderBase<ILoggingEvent> {
    private final boolean plainText = "text".equals(System.getProperty("stonelb.log"));
    private final PatternLayout textLayout = new PatternLayout();
    private final LogstashEncoder jsonEncoder = new LogstashEncoder();

    @Override
    public void start() {
        textLayout.setContext(getContext());
        textLayout.setPattern("%d{HH:mm:ss.SSS} %-5level %msg%n");
        jsonEncoder.setContext(getContext());
        if (plainText) {
            textLayout.start();
        } else {
            jsonEncoder.start();
        }
        super.start();
    }

    @Override
    public byte[] headerBytes() {
        return null;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        return plainText ? textLayout.doLayout(event).getBytes(StandardCharsets.UTF_8) : jsonEncoder.encode(event);
    }

    @Override
    public byte[] footerBytes() {
        return null;
    }
}
