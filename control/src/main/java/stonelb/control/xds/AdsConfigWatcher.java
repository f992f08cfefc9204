package stonelb.control.xds;

import io.envoyproxy.controlplane.cache.ConfigWatcher;
import io.envoyproxy.controlplane.cache.DeltaResponse;
import io.envoyproxy.controlplane.cache.DeltaWatch;
import io.envoyproxy.controlplane.cache.DeltaXdsRequest;
import io.envoyproxy.controlplane.cache.Response;
import io.envoyproxy.controlplane.cache.Watch;
import io.envoyproxy.controlplane.cache.XdsRequest;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Provides the discovery server of java-control-plane with resources, in place of that library's own cache. That cache
 * responds to a NACK with the rejected content, withholds all resources while a subscribed one does not exist, treats
 * every subscription to clusters and listeners as a wildcard, and ignores {@code initial_resource_versions}; see
 * docs/design/control.md.
 *
 * <p>A watch of a type that is not served never gets a response, as the protocol requires.
 */
final class AdsConfigWatcher implements ConfigWatcher {
    private AdsStream currentStream;

    /** Sets the stream whose request is being handled, or null. Requests are handled one at a time. */
    void setCurrentStream(AdsStream stream) {
        currentStream = stream;
    }

    @Override
    public Watch createWatch(
            boolean ads,
            XdsRequest request,
            Set<String> knownResourceNames,
            Consumer<Response> responses,
            boolean hasClusterChanged,
            boolean allowDefaultEmptyEdsUpdate) {
        AdsStream stream = currentStream;
        ResourceType type = ResourceType.forTypeUrl(request.getTypeUrl());
        Watch watch = new Watch(ads, allowDefaultEmptyEdsUpdate, request, responses);
        if (type != null) {
            stream.watch(request, responses);
            Runnable pending = stream.pendingWatch(type);
            watch.setStop(() -> stream.cancelWatch(type, pending));
        }
        return watch;
    }

    @Override
    public DeltaWatch createDeltaWatch(
            DeltaXdsRequest request,
            String requesterVersion,
            Map<String, String> resourceVersions,
            Set<String> pendingResources,
            boolean isWildcard,
            Consumer<DeltaResponse> responses,
            boolean hasClusterChanged) {
        AdsStream stream = currentStream;
        ResourceType type = ResourceType.forTypeUrl(request.getTypeUrl());
        DeltaWatch watch =
                new DeltaWatch(request, resourceVersions, pendingResources, requesterVersion, isWildcard, responses);
        if (type != null) {
            stream.watch(request, responses);
            Runnable pending = stream.pendingWatch(type);
            watch.setStop(() -> stream.cancelWatch(type, pending));
        }
        return watch;
    }
}
