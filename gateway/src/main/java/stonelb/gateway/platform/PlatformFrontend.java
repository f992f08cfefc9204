package stonelb.gateway.platform;

import java.util.function.BooleanSupplier;
import stonelb.config.Configuration;
import stonelb.core.RequestTable;
import stonelb.gateway.frontend.ClientConnection;
import stonelb.gateway.frontend.Frontend;
import stonelb.gateway.frontend.FrontendRequest;
import stonelb.io.EventLoop;
import stonelb.io.InputClock;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/** The frontend for the platform's RESP2 commands. */
public final class PlatformFrontend extends Frontend {
    private final PlatformRequestParser requestParser;
    private final BooleanSupplier isReady;
    private final RequestIds requestIds = new RequestIds();

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param isReady whether the gateway knows its endpoints, as {@code PING} reports it
     */
    public PlatformFrontend(
            EventLoop loop,
            RateLimitedLog log,
            RequestTable requestTable,
            Configuration config,
            int maxConnections,
            BooleanSupplier isReady) {
        this(loop, loop, log, requestTable, config, maxConnections, isReady);
    }

    /** Creates a frontend for synthetic input, whose arrival times {@code inputClock} provides. */
    public PlatformFrontend(
            EventLoop loop,
            InputClock inputClock,
            RateLimitedLog log,
            RequestTable requestTable,
            Configuration config,
            int maxConnections,
            BooleanSupplier isReady) {
        super(loop, inputClock, log, requestTable, config.maxOpenRequests(), maxConnections);
        this.requestParser = new PlatformRequestParser(config);
        this.isReady = isReady;
    }

    @Override
    public ClientConnection accept(RateLimitedLog log) {
        return new PlatformConnection(this, log);
    }

    /**
     * Reserves the request's id until the request ends.
     *
     * @throws MalformedInputException if another request with the same id is open or may have been executed
     */
    void register(PlatformRequest request) throws MalformedInputException {
        requestIds.open(request.clientRequestId(), now());
    }

    @Override
    protected void onRequestEnded(FrontendRequest request) {
        PlatformRequest ended = (PlatformRequest) request;
        boolean mayNotRunAgain = !ended.isIdempotent() && ended.mayHaveExecuted();
        requestIds.close(ended.clientRequestId(), mayNotRunAgain, now());
    }

    PlatformRequestParser requestParser() {
        return requestParser;
    }

    boolean isReady() {
        return isReady.getAsBoolean();
    }
}
