package stonelb.io;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Resumes accepting on a listening channel after the system failed to accept a connection (ECONNABORTED, EMFILE, ENFILE,
 * ENOBUFS).
 *
 * <p>Netty's own handler stops accepting for a second, during which requests on connections in the backlog miss their
 * deadlines. This handler precedes it, does not propagate the failure, and pauses for a few milliseconds only, since most
 * of these failures are momentary. The pause doubles while the failure persists, so that the event loop does not spin.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final long MIN_PAUSE_MS = 1;
    private static final long MAX_PAUSE_MS = 32;

    private final RateLimitedLog log;
    private long pauseMs = MIN_PAUSE_MS;

    AcceptFailureHandler(RateLimitedLog log) {
        this.log = log;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        pauseMs = MIN_PAUSE_MS;
        context.fireChannelRead(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        log.warn("client connection not accepted", cause.getMessage() + "; accepting again in " + pauseMs + " ms");
        Channel listener = context.channel();
        listener.config().setAutoRead(false);
        var unused = listener.eventLoop()
                .schedule(() -> listener.config().setAutoRead(true), pauseMs, TimeUnit.MILLISECONDS);
        pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
    }
}
