package stonelb.control.xds;

import io.envoyproxy.controlplane.cache.ConfigWatcher;
import io.grpc.ServerInterceptor;
import java.util.function.DoubleSupplier;

/** The ADS implementation: the config watcher and the interceptor for the discovery server of java-control-plane. */
public final class AdsServer {
    private final AdsConfigWatcher watcher = new AdsConfigWatcher();
    private final StreamInterceptor interceptor;

    /** Creates the server; the clock gives the time of the event loop in ms. */
    public AdsServer(ProxyStreams streams, StreamLimits limits, DoubleSupplier clock, StreamListener listener) {
        interceptor = new StreamInterceptor(streams, watcher, limits, clock, listener);
    }

    /** Provides the discovery server with resources. */
    public ConfigWatcher watcher() {
        return watcher;
    }

    /** The interceptor to install for the calls of the discovery server. */
    public ServerInterceptor interceptor() {
        return interceptor;
    }

    /** Closes stalled streams. Has to be called periodically. */
    public void closeStalledStreams() {
        interceptor.closeStalledStreams();
    }

    /** The number of open streams. */
    public int openStreams() {
        return interceptor.openStreams();
    }

    /** The number of streams rejected since the start, by the limit of streams or for their certificate. */
    public long rejectedStreams() {
        return interceptor.rejectedStreams();
    }
}
