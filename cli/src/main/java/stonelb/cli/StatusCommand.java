package stonelb.cli;

import com.google.protobuf.Empty;
import com.google.protobuf.Struct;
import com.google.protobuf.util.JsonFormat;
import io.grpc.CallOptions;
import io.grpc.ChannelCredentials;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.TlsChannelCredentials;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import stonelb.config.Configuration;
import stonelb.control.StatusService;

/** Asks a running control service for its state over gRPC and prints it as a table or as JSON. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Ask a control service for its proxies: versions, rejections, ages of reports, leases.")
final class StatusCommand implements Callable<Integer> {
    private static final int MAX_MESSAGE_BYTES = 64 << 20;
    private static final int TIMEOUT_SECONDS = 5;
    /** The host name in the service's certificate, which does not depend on the address. */
    private static final String SERVICE_AUTHORITY = "stonelb-control";

    @Parameters(paramLabel = "HOST:PORT", description = "where it listens")
    private String address;

    @Option(names = "--json", description = "the whole state as JSON")
    private boolean json;

    @Option(
            names = "--ca",
            paramLabel = "FILE",
            description = "authorities of the service's certificate; without it, plain text")
    private Path authorities;

    @Option(names = "--certificate", paramLabel = "FILE", description = "the certificate to show")
    private Path certificate;

    @Option(names = "--key", paramLabel = "FILE", description = "its key")
    private Path key;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Struct state = fetchState();
        if (json) {
            spec.commandLine().getOut().println(JsonFormat.printer().print(state));
        } else {
            new StatusTable(spec.commandLine().getOut()).print(state);
        }
        return 0;
    }

    private Struct fetchState() throws Exception {
        ManagedChannel channel = openChannel();
        try {
            return ClientCalls.blockingUnaryCall(
                    channel,
                    StatusService.GET,
                    CallOptions.DEFAULT.withDeadlineAfter(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    Empty.getDefaultInstance());
        } catch (StatusRuntimeException e) {
            throw new IOException("no status from " + address + ": "
                    + e.getStatus().getCode() + " " + e.getStatus().getDescription());
        } finally {
            channel.shutdownNow();
        }
    }

    private ManagedChannel openChannel() throws Exception {
        InetSocketAddress service = Configuration.address("HOST:PORT", address);
        NettyChannelBuilder builder =
                NettyChannelBuilder.forAddress(service, credentials()).maxInboundMessageSize(MAX_MESSAGE_BYTES);
        if (authorities != null) {
            builder.overrideAuthority(SERVICE_AUTHORITY);
        }
        return builder.build();
    }

    private ChannelCredentials credentials() throws IOException {
        if (authorities == null) {
            return InsecureChannelCredentials.create();
        }
        if (certificate == null || key == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--ca needs --certificate and --key");
        }
        return TlsChannelCredentials.newBuilder()
                .trustManager(authorities.toFile())
                .keyManager(certificate.toFile(), key.toFile())
                .build();
    }
}
