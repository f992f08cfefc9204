package stonelb.io;

import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** Creates NIO channels. */
final class NioChannelProvider implements ChannelProvider {
    @Override
    public SocketChannel newSocketChannel() {
        return new NioSocketChannel();
    }

    @Override
    public ServerSocketChannel newServerSocketChannel() {
        return new NioServerSocketChannel();
    }
}
