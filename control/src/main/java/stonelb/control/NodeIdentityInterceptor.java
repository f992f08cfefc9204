package stonelb.control;

import io.grpc.Attributes;
import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import stonelb.control.resources.ResourceFactory;
import stonelb.control.xds.ProxyIdentity;

/**
 * Reads the node of a call from its header, for services whose messages have no field for it, and rejects a call whose
 * certificate does not name that node.
 */
final class NodeIdentityInterceptor implements ServerInterceptor {
    /** The node that the header of the current call names, or null. */
    static final Context.Key<String> NODE = Context.key("node");

    private static final Context.Key<Attributes> CONNECTION = Context.key("connection");
    private static final Metadata.Key<String> HEADER =
            Metadata.Key.of(ResourceFactory.NODE_HEADER, Metadata.ASCII_STRING_MARSHALLER);
    private static final int MAX_NODE_LENGTH = 256;

    /** Whether the peer of the current call is authorized to act as the node. */
    static boolean isPeerAuthorizedFor(String node) {
        Attributes connection = CONNECTION.get();
        return connection == null || ProxyIdentity.isAuthorizedFor(connection, node);
    }

    @Override
    public <RequestT, ResponseT> ServerCall.Listener<RequestT> interceptCall(
            ServerCall<RequestT, ResponseT> call, Metadata headers, ServerCallHandler<RequestT, ResponseT> next) {
        String node = headers.get(HEADER);
        if (node != null && !isPermitted(node, call.getAttributes())) {
            call.close(
                    Status.PERMISSION_DENIED.withDescription("the certificate does not name this node"),
                    new Metadata());
            return new ServerCall.Listener<>() {};
        }
        Context context = Context.current().withValues(NODE, node, CONNECTION, call.getAttributes());
        return Contexts.interceptCall(context, call, headers, next);
    }

    private static boolean isPermitted(String node, Attributes connection) {
        return !node.isBlank() && node.length() <= MAX_NODE_LENGTH && ProxyIdentity.isAuthorizedFor(connection, node);
    }
}
