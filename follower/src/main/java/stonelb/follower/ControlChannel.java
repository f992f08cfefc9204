package stonelb.follower;

import io.grpc.ChannelCredentials;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.TlsChannelCredentials;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.util.concurrent.Executor;

/** Creates the gRPC channel to the control service. */
final class ControlChannel {
    /** The name in the service's certificate; it does not depend on the service's address. */
    private static final String SERVICE_AUTHORITY = "stonelb-control";

    private static final int MAX_RESPONSE_BYTES = 64 << 20;

    private ControlChannel() {}

    /**
     * Creates a channel, which connects on the first call.
     *
     * @param options address and TLS files
     * @param executor runs the callbacks of all calls
     * @throws IOException if a TLS file can't be read
     */
    static ManagedChannel open(ClientOptions options, Executor executor) throws IOException {
        NettyChannelBuilder builder = NettyChannelBuilder.forAddress(
                        options.host(), options.port(), credentials(options.tls()))
                .executor(executor)
                .maxInboundMessageSize(MAX_RESPONSE_BYTES);
        if (options.tls() != null) {
            builder.overrideAuthority(SERVICE_AUTHORITY);
        }
        return builder.build();
    }

    private static ChannelCredentials credentials(ClientOptions.Tls tls) throws IOException {
        if (tls == null) {
            return InsecureChannelCredentials.create();
        }
        return TlsChannelCredentials.newBuilder()
                .keyManager(tls.certificate(), tls.key())
                .trustManager(tls.trustedAuthorities())
                .build();
    }
}
