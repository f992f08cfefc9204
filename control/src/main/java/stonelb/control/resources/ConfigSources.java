package stonelb.control.resources;

import io.envoyproxy.envoy.config.core.v3.AggregatedConfigSource;
import io.envoyproxy.envoy.config.core.v3.ApiVersion;
import io.envoyproxy.envoy.config.core.v3.ConfigSource;
import io.envoyproxy.envoy.config.core.v3.SelfConfigSource;

/** The config sources by which resources refer to other resources or to the server for load reports. */
final class ConfigSources {
    private ConfigSources() {}

    /** The aggregated stream (ADS). */
    static ConfigSource aggregated() {
        return ConfigSource.newBuilder()
                .setAds(AggregatedConfigSource.getDefaultInstance())
                .setResourceApiVersion(ApiVersion.V3)
                .build();
    }

    /** The server that sent the resource. */
    static ConfigSource self() {
        return ConfigSource.newBuilder()
                .setSelf(SelfConfigSource.getDefaultInstance())
                .setResourceApiVersion(ApiVersion.V3)
                .build();
    }
}
