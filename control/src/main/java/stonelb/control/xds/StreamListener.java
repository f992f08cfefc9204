package stonelb.control.xds;

import io.envoyproxy.envoy.config.core.v3.Node;

/** Receives events of the streams of proxies. */
public interface StreamListener {

    /** A stream named its node; the node's resources have to be published before this returns. */
    void streamOpened(Node node);

    /** The last stream of a node has closed. */
    void streamClosed(String node);
}
