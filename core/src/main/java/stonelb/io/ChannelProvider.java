package stonelb.io;

import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;

/**
 * Creates the channels of an {@link EventLoop}. The system may refuse to create a socket for a moment, for example at its
 * limit on file descriptors.
 */
public interface ChannelProvider {

    /** Creates a channel for an outbound connection. */
    SocketChannel newSocketChannel();

    /** Creates a channel that listens. */
    ServerSocketChannel newServerSocketChannel();
}
