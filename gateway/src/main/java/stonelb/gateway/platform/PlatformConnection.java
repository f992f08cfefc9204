package stonelb.gateway.platform;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import stonelb.gateway.frontend.ClientConnection;
import stonelb.gateway.frontend.CompletedResponse;
import stonelb.gateway.frontend.PendingResponse;
import stonelb.gateway.resp.RespParser;
import stonelb.gateway.resp.RespWriter;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/** A client connection that carries the platform's commands in RESP2. */
final class PlatformConnection extends ClientConnection {

    /** A RESP2 line including its type prefix, such as {@code +OK}. */
    private record LineResponse(String line) implements CompletedResponse {
        @Override
        public void writeResponse(ByteBuf out) {
            RespWriter.line(out, line);
        }
    }

    private final PlatformFrontend frontend;
    private final RespParser parser = new RespParser();

    PlatformConnection(PlatformFrontend frontend, RateLimitedLog log) {
        super(frontend, log);
        this.frontend = frontend;
    }

    @Override
    protected boolean readMessage() throws MalformedInputException {
        Object value = parser.next(in);
        if (value == RespParser.INCOMPLETE) {
            return false;
        }
        List<byte[]> arguments = arguments(value);
        if (!arguments.isEmpty()) {
            execute(arguments);
        }
        return true;
    }

    private static List<byte[]> arguments(Object value) throws MalformedInputException {
        if (!(value instanceof List<?> elements)) {
            throw new MalformedInputException("a command is not an array");
        }
        List<byte[]> arguments = new ArrayList<>(elements.size());
        for (Object element : elements) {
            if (!(element instanceof byte[] argument)) {
                throw new MalformedInputException("a command holds something other than bulk strings");
            }
            arguments.add(argument);
        }
        return arguments;
    }

    private void execute(List<byte[]> arguments) {
        String command = new String(arguments.get(0), StandardCharsets.US_ASCII).toUpperCase(Locale.ROOT);
        switch (command) {
            case "Q.ASK" -> submitRequest(true, arguments);
            case "Q.DO" -> submitRequest(false, arguments);
            case "PING" ->
                respond(new LineResponse(frontend.isReady() ? "+PONG" : "-LOADING no list of plan servers yet"));
            case "CLIENT", "SELECT" -> respond(new LineResponse("+OK"));
            default -> respond(new LineResponse("-ERR unknown command"));
        }
    }

    private void submitRequest(boolean idempotent, List<byte[]> arguments) {
        PlatformRequest request;
        try {
            request = new PlatformRequest(
                    this, idempotent, arguments, frontend.requestParser().parse(arrivalTime(), idempotent, arguments));
            frontend.register(request);
        } catch (MalformedInputException e) {
            log.warn("invalid request", e.getMessage());
            respond(new LineResponse("-ERR " + e.getMessage()));
            return;
        }
        submit(request);
    }

    @Override
    protected boolean isMidMessage() {
        return parser.isMidMessage();
    }

    @Override
    protected int parserBytes() {
        return parser.bufferedBytes();
    }

    @Override
    protected PendingResponse errorResponse(String reason) {
        return new LineResponse("-ERR Protocol error: " + reason);
    }
}
