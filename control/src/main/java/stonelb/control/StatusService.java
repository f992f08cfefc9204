package stonelb.control;

import com.google.protobuf.Empty;
import com.google.protobuf.Struct;
import io.grpc.BindableService;
import io.grpc.MethodDescriptor;
import io.grpc.ServerServiceDefinition;
import io.grpc.protobuf.ProtoUtils;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.util.function.Supplier;

/** The gRPC service behind {@code stonelb control status}: one call that returns the complete state as a Struct. */
public final class StatusService implements BindableService {
    private static final String SERVICE_NAME = "stonelb.control.v1.Status";

    /** The only method: takes Empty and returns the state as a Struct. */
    public static final MethodDescriptor<Empty, Struct> GET = MethodDescriptor.<Empty, Struct>newBuilder()
            .setType(MethodDescriptor.MethodType.UNARY)
            .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE_NAME, "Get"))
            .setRequestMarshaller(ProtoUtils.marshaller(Empty.getDefaultInstance()))
            .setResponseMarshaller(ProtoUtils.marshaller(Struct.getDefaultInstance()))
            .build();

    private final Supplier<Struct> state;

    StatusService(Supplier<Struct> state) {
        this.state = state;
    }

    @Override
    public ServerServiceDefinition bindService() {
        return ServerServiceDefinition.builder(SERVICE_NAME)
                .addMethod(GET, ServerCalls.asyncUnaryCall(this::get))
                .build();
    }

    private void get(Empty request, StreamObserver<Struct> responses) {
        responses.onNext(state.get());
        responses.onCompleted();
    }
}
