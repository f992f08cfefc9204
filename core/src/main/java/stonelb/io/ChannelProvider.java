package stonelb.io;

import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;

/**
 * Creates the channels of an {@link EventLoop}. The creation of a socket may fail temporarily, for example at the system's
 * limit on file descriptors.
 */
public interface ChannelProvider {

    /** Creates a channel for an outbound connection. */
    SocketChannel newSocketChannel();

    /** Creates a listening channel. */
    ServerSocketChannel newServerSocketChannel();
}
