package stonelb.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.Empty;
import com.google.protobuf.Struct;
import io.grpc.CallOptions;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.InsecureServerCredentials;
import io.grpc.ManagedChannel;
import io.grpc.NameResolverRegistry;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import io.grpc.xds.XdsNameResolverProvider;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import stonelb.standins.GatewayProcess;

/** The xDS client of grpc-java, without a proxy, resolves a service through the control service. */
class ProxylessGrpcTest {
    @TempDir
    Path folder;

    @Test
    @Timeout(60)
    void resolvesEndpointsAndFollowsDraining() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 0, ",\"grpcListener\":\"plans\"")) {
            List<Server> backends = new ArrayList<>();
            List<AtomicInteger> calls = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                AtomicInteger count = new AtomicInteger();
                calls.add(count);
                Server backend = NettyServerBuilder.forAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                InsecureServerCredentials.create())
                        .addService(ServerServiceDefinition.builder("stonelb.control.v1.Status")
                                .addMethod(
                                        StatusService.GET,
                                        ServerCalls.asyncUnaryCall(
                                                (Empty request, StreamObserver<Struct> responses) -> {
                                                    count.incrementAndGet();
                                                    responses.onNext(Struct.getDefaultInstance());
                                                    responses.onCompleted();
                                                }))
                                .build())
                        .build()
                        .start();
                backends.add(backend);
                harness.fleet.addExternalServer("g-" + i, "127.0.0.1:" + backend.getPort());
            }
            XdsNameResolverProvider resolverProvider = XdsNameResolverProvider.createForTest(
                    "xds-here",
                    Map.of(
                            "xds_servers",
                                    List.of(Map.of(
                                            "server_uri",
                                            "127.0.0.1:" + harness.service.port(),
                                            "channel_creds",
                                            List.of(Map.of("type", "insecure")),
                                            "server_features",
                                            List.of("xds_v3"))),
                            "node", Map.of("id", "proxyless")));
            NameResolverRegistry.getDefaultRegistry().register(resolverProvider);
            ManagedChannel channel = Grpc.newChannelBuilder("xds-here:///plans", InsecureChannelCredentials.create())
                    .build();
            try {
                GatewayProcess.awaitCondition("the client uses all three backends", () -> {
                    ClientCalls.blockingUnaryCall(
                            channel,
                            StatusService.GET,
                            CallOptions.DEFAULT.withWaitForReady(),
                            Empty.getDefaultInstance());
                    return calls.stream().allMatch(callCount -> callCount.get() > 0);
                });
                harness.fleet.setStatus("g-1", "terminating");
                GatewayProcess.awaitCondition("the draining backend receives no calls", () -> {
                    int before = calls.get(1).get();
                    for (int i = 0; i < 12; i++) {
                        ClientCalls.blockingUnaryCall(
                                channel, StatusService.GET, CallOptions.DEFAULT, Empty.getDefaultInstance());
                    }
                    return calls.get(1).get() == before;
                });
                assertTrue(calls.get(0).get() > 5 && calls.get(2).get() > 5);
                assertEquals(3, backends.size());
            } finally {
                channel.shutdownNow();
                NameResolverRegistry.getDefaultRegistry().deregister(resolverProvider);
                backends.forEach(Server::shutdownNow);
            }
        }
    }
}
