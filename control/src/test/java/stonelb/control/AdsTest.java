package stonelb.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.Empty;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import com.google.rpc.Status;
import io.envoyproxy.envoy.config.core.v3.HealthStatus;
import io.envoyproxy.envoy.config.core.v3.Node;
import io.envoyproxy.envoy.config.endpoint.v3.ClusterLoadAssignment;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DeltaDiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryRequest;
import io.envoyproxy.envoy.service.discovery.v3.DiscoveryResponse;
import io.envoyproxy.envoy.service.discovery.v3.Resource;
import io.grpc.CallOptions;
import io.grpc.Status.Code;
import io.grpc.stub.ClientCalls;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import stonelb.control.resources.ResourceFactory;
import stonelb.control.xds.ResourceType;
import stonelb.standins.GatewayProcess;
import stonelb.standins.StubFleet;

/** ADS over real gRPC streams: invalid requests, lost and stalled streams, and the order of responses. */
class AdsTest {
    private static final String ENDPOINTS_NAME = ResourceFactory.EDS_SERVICE_NAME;

    @TempDir
    Path folder;

    private static boolean isAnyDraining(ClusterLoadAssignment assignment) {
        return assignment.getEndpointsList().stream()
                .flatMap(locality -> locality.getLbEndpointsList().stream())
                .anyMatch(endpoint -> endpoint.getHealthStatus() == HealthStatus.DRAINING);
    }

    @Test
    void nackIsRecordedAndNotAnsweredAndOtherStreamsAreUnaffected() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 3, "")) {
            var rejecting = harness.openStateOfTheWorldStream(false);
            var accepting = harness.openStateOfTheWorldStream(false);
            rejecting.requests.onNext(
                    ControlTestHarness.request("bad", ResourceType.ENDPOINTS.typeUrl(), ENDPOINTS_NAME)
                            .build());
            accepting.requests.onNext(
                    ControlTestHarness.request("good", ResourceType.ENDPOINTS.typeUrl(), ENDPOINTS_NAME)
                            .build());
            DiscoveryResponse firstResponse = rejecting.nextResponse();
            DiscoveryResponse otherResponse = accepting.nextResponse();
            accepting.requests.onNext(
                    ControlTestHarness.ack(otherResponse, ENDPOINTS_NAME).build());
            rejecting.requests.onNext(
                    ControlTestHarness.request("bad", ResourceType.ENDPOINTS.typeUrl(), ENDPOINTS_NAME)
                            .setResponseNonce(firstResponse.getNonce())
                            .setErrorDetail(Status.newBuilder().setMessage("planted"))
                            .build());
            // A stale nonce is ignored.
            accepting.requests.onNext(ControlTestHarness.ack(otherResponse, ENDPOINTS_NAME)
                    .setResponseNonce("77")
                    .build());
            // A name that does not exist yet does not block the others; an unsupported type is not answered.
            accepting.requests.onNext(
                    ControlTestHarness.request("good", "type.googleapis.com/envoy.config.unknown.v3.Thing")
                            .build());
            accepting.requests.onNext(ControlTestHarness.request(
                            "good", ResourceType.ROUTES.typeUrl(), "not-there", ResourceFactory.ROUTES)
                    .build());
            DiscoveryResponse routes = accepting.nextResponse();
            assertEquals(ResourceType.ROUTES.typeUrl(), routes.getTypeUrl());
            assertEquals(1, routes.getResourcesCount());
            assertNull(rejecting.responses.poll(300, TimeUnit.MILLISECONDS), "the rejected resources were sent again");
            String status = StatusJson.read(harness);
            assertTrue(status.contains("planted"), status);

            harness.fleet.setStatus("s-1", "terminating");
            DiscoveryResponse nextResponse = rejecting.nextResponse();
            assertNotEquals(firstResponse.getVersionInfo(), nextResponse.getVersionInfo());
            assertTrue(isAnyDraining(nextResponse.getResources(0).unpack(ClusterLoadAssignment.class)));
            assertTrue(isAnyDraining(accepting.nextResponse().getResources(0).unpack(ClusterLoadAssignment.class)));
        }
    }

    @Test
    void reconnectingProxyGetsOnlyChangesAndUnknownNonceIsIgnored() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 3, "")) {
            var stream = harness.openIncrementalStream();
            stream.requests.onNext(DeltaDiscoveryRequest.newBuilder()
                    .setNode(Node.newBuilder().setId("p"))
                    .setTypeUrl(ResourceType.ENDPOINTS.typeUrl())
                    .addResourceNamesSubscribe(ENDPOINTS_NAME)
                    .addResourceNamesSubscribe("later")
                    .build());
            DeltaDiscoveryResponse firstResponse = stream.nextResponse();
            assertEquals(List.of("later"), firstResponse.getRemovedResourcesList());
            Resource heldResource = firstResponse.getResources(0);
            // The stream is lost before the response is acknowledged. Meanwhile an endpoint starts to drain.
            stream.requests.cancel("gone", null);
            harness.fleet.setStatus("s-2", "terminating");
            GatewayProcess.awaitCondition(
                    "the stream is released", () -> StatusJson.read(harness).contains("\"streams\":0"));

            var reconnected = harness.openIncrementalStream();
            reconnected.requests.onNext(DeltaDiscoveryRequest.newBuilder()
                    .setNode(Node.newBuilder().setId("p"))
                    .setTypeUrl(ResourceType.ENDPOINTS.typeUrl())
                    .putInitialResourceVersions(heldResource.getName(), heldResource.getVersion())
                    .addResourceNamesSubscribe(ENDPOINTS_NAME)
                    .build());
            DeltaDiscoveryResponse nextResponse = reconnected.nextResponse();
            assertTrue(isAnyDraining(nextResponse.getResources(0).getResource().unpack(ClusterLoadAssignment.class)));
            reconnected.requests.onNext(DeltaDiscoveryRequest.newBuilder()
                    .setTypeUrl(ResourceType.ENDPOINTS.typeUrl())
                    .setResponseNonce("no-such")
                    .build());
            reconnected.requests.onNext(DeltaDiscoveryRequest.newBuilder()
                    .setTypeUrl(ResourceType.ENDPOINTS.typeUrl())
                    .setResponseNonce(nextResponse.getNonce())
                    .build());

            // With the current versions there is nothing to send; only a type subscribed afterwards is sent.
            var upToDate = harness.openIncrementalStream();
            upToDate.requests.onNext(DeltaDiscoveryRequest.newBuilder()
                    .setNode(Node.newBuilder().setId("p"))
                    .setTypeUrl(ResourceType.ENDPOINTS.typeUrl())
                    .putInitialResourceVersions(
                            ENDPOINTS_NAME, nextResponse.getResources(0).getVersion())
                    .addResourceNamesSubscribe(ENDPOINTS_NAME)
                    .build());
            upToDate.requests.onNext(DeltaDiscoveryRequest.newBuilder()
                    .setTypeUrl(ResourceType.ROUTES.typeUrl())
                    .addResourceNamesSubscribe(ResourceFactory.ROUTES)
                    .build());
            assertEquals(ResourceType.ROUTES.typeUrl(), upToDate.nextResponse().getTypeUrl());
            assertNull(reconnected.closeStatuses.peek());
        }
    }

    @Test
    void invalidAndExcessStreamsAreClosedAndOthersContinue() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 2, ",\"maxStreams\":6")) {
            var healthy = harness.openStateOfTheWorldStream(false);
            healthy.requests.onNext(ControlTestHarness.request("fine", ResourceType.CLUSTER.typeUrl())
                    .build());
            DiscoveryResponse clusters = healthy.nextResponse();
            healthy.requests.onNext(ControlTestHarness.ack(clusters).build());

            var unnamed = harness.openStateOfTheWorldStream(false);
            unnamed.requests.onNext(DiscoveryRequest.newBuilder()
                    .setTypeUrl(ResourceType.CLUSTER.typeUrl())
                    .build());
            assertEquals(Code.INVALID_ARGUMENT, unnamed.awaitClose().getCode());
            var twoNodes = harness.openStateOfTheWorldStream(false);
            twoNodes.requests.onNext(ControlTestHarness.request("one", ResourceType.CLUSTER.typeUrl())
                    .build());
            twoNodes.nextResponse();
            twoNodes.requests.onNext(ControlTestHarness.request("other", ResourceType.CLUSTER.typeUrl())
                    .build());
            assertEquals(Code.PERMISSION_DENIED, twoNodes.awaitClose().getCode());
            var tooManyNames = harness.openStateOfTheWorldStream(false);
            tooManyNames.requests.onNext(DiscoveryRequest.newBuilder()
                    .setNode(Node.newBuilder().setId("many"))
                    .setTypeUrl(ResourceType.ENDPOINTS.typeUrl())
                    .addAllResourceNames(
                            IntStream.range(0, 100_000).mapToObj(i -> "r" + i).toList())
                    .build());
            assertEquals(Code.RESOURCE_EXHAUSTED, tooManyNames.awaitClose().getCode());
            var tooLarge = harness.openStateOfTheWorldStream(false);
            tooLarge.requests.onNext(
                    ControlTestHarness.request("huge", ResourceType.CLUSTER.typeUrl(), "x".repeat(64 << 20))
                            .build());
            assertEquals(Code.RESOURCE_EXHAUSTED, tooLarge.awaitClose().getCode());

            // Streams over the limit are rejected, and open ones stay.
            GatewayProcess.awaitCondition("the closed streams are released", () -> StatusJson.read(harness)
                    .contains("\"streams\":1"));
            List<? extends ControlTestHarness.RawStream<DiscoveryRequest, DiscoveryResponse>> excess = IntStream.range(
                            0, 40)
                    .mapToObj(i -> {
                        var stream = harness.openStateOfTheWorldStream(false);
                        stream.requests.onNext(ControlTestHarness.request("f" + i, ResourceType.CLUSTER.typeUrl())
                                .build());
                        return stream;
                    })
                    .toList();
            GatewayProcess.awaitCondition("all are answered or rejected", () -> excess.stream()
                    .allMatch(stream -> !stream.responses.isEmpty() || !stream.closeStatuses.isEmpty()));
            long rejectedCount = excess.stream()
                    .filter(stream -> !stream.closeStatuses.isEmpty()
                            && stream.closeStatuses.peek().getCode() == Code.UNAVAILABLE)
                    .count();
            assertEquals(35, rejectedCount);
            harness.fleet.setStatus("s-0", "terminating");
            healthy.requests.onNext(ControlTestHarness.request("fine", ResourceType.ENDPOINTS.typeUrl(), ENDPOINTS_NAME)
                    .build());
            assertEquals(
                    ResourceType.ENDPOINTS.typeUrl(), healthy.nextResponse().getTypeUrl());
        }
    }

    @Test
    void nonReadingProxyDoesNotBlockOthersAndHasOnePendingResponsePerType() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 4, "")) {
            var notReading = harness.openStateOfTheWorldStream(true);
            notReading.requests.onNext(
                    ControlTestHarness.request("deaf", ResourceType.ENDPOINTS.typeUrl(), ENDPOINTS_NAME)
                            .build());
            var healthy = harness.openStateOfTheWorldStream(false);
            healthy.requests.onNext(ControlTestHarness.request("fine", ResourceType.ENDPOINTS.typeUrl(), ENDPOINTS_NAME)
                    .build());
            for (int i = 0; i < 20; i++) {
                DiscoveryResponse response = healthy.nextResponse();
                harness.fleet.setStatus("s-1", i % 2 == 0 ? "terminating" : "in_service");
                healthy.requests.onNext(
                        ControlTestHarness.ack(response, ENDPOINTS_NAME).build());
            }
            healthy.nextResponse();
            notReading.requests.request(100);
            notReading.nextResponse();
            assertNull(notReading.responses.poll(200, TimeUnit.MILLISECONDS), "more than one response was pending");
        }
    }

    @Test
    void invalidDescriptionIsRejectedAndValidOneReachesEveryProxy() throws Exception {
        try (ControlTestHarness harness = new ControlTestHarness(folder, 2, "")) {
            var stream = harness.openStateOfTheWorldStream(false);
            stream.requests.onNext(
                    ControlTestHarness.request("p", ResourceType.ROUTES.typeUrl(), ResourceFactory.ROUTES)
                            .build());
            DiscoveryResponse firstResponse = stream.nextResponse();
            stream.requests.onNext(ControlTestHarness.ack(firstResponse, ResourceFactory.ROUTES)
                    .build());
            Files.writeString(harness.description, "openapi: [");
            assertNull(stream.responses.poll(300, TimeUnit.MILLISECONDS));
            Files.writeString(
                    harness.description,
                    StubFleet.DESCRIPTION.replace("x-stonelb-class: session-log", "x-stonelb-class: no-such"));
            assertNull(
                    stream.responses.poll(300, TimeUnit.MILLISECONDS),
                    "a description with a class that is not in the settings was published");
            Files.writeString(
                    harness.description,
                    StubFleet.DESCRIPTION
                            + "  /v1/new:\n    get: {operationId: n, x-stonelb-class: plan-read, responses: {}}\n");
            RouteConfiguration routes = stream.nextResponse().getResources(0).unpack(RouteConfiguration.class);
            assertTrue(routes.toString().contains("/v1/new"));
            var logRoute = routes.getVirtualHosts(0).getRoutesList().stream()
                    .filter(route -> route.getName().contains("/v1/sessions"))
                    .findFirst()
                    .get();
            assertTrue(
                    !logRoute.getRoute().getRetryPolicy().getRetryOn().contains("5xx"),
                    "a session log is never retried after a failure");
        }
    }

    /** The status of the service as JSON text. */
    static final class StatusJson {
        static String read(ControlTestHarness harness) {
            var status = ClientCalls.blockingUnaryCall(
                    harness.channel, StatusService.GET, CallOptions.DEFAULT, Empty.getDefaultInstance());
            try {
                return JsonFormat.printer()
                        .omittingInsignificantWhitespace()
                        .print(status)
                        .replace(".0", "");
            } catch (InvalidProtocolBufferException e) {
                throw new AssertionError(e);
            }
        }
    }
}
