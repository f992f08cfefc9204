package stonelb.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stonelb.config.Configuration;
import stonelb.core.Attempt;
import stonelb.core.EndpointConnector;
import stonelb.core.QuotaCounter;
import stonelb.core.RequestTable;
import stonelb.core.TimerQueue;
import stonelb.decision.Endpoint;
import stonelb.decision.EndpointListType;
import stonelb.decision.EndpointState;
import stonelb.decision.Idempotency;
import stonelb.decision.Outcome;
import stonelb.gateway.endpoint.OutboundRequest;
import stonelb.gateway.endpoint.RespResponse;
import stonelb.gateway.platform.PlatformFrontend;
import stonelb.gateway.resp.RespParser;
import stonelb.gateway.resp.RespWriter;
import stonelb.http.HttpParser;
import stonelb.io.EventLoop;
import stonelb.io.InputBuffer;
import stonelb.io.InputClock;
import stonelb.io.MalformedInputException;
import stonelb.io.RateLimitedLog;

/**
 * Lets the JIT compile the request path before the gateway listens, by running synthetic requests through the
 * platform's frontend, the request table and the decision engine. Without a warm-up, 100 requests a second right
 * after the start use up a small share of a core.
 *
 * <p>It uses a separate request table, opens no socket and simulates the endpoints and the quota counter. None of its
 * state is kept.
 */
final class WarmUp implements EndpointConnector, QuotaCounter {
    private static final int MAX_REQUESTS = 350;

    /** Short, since a restarting gateway serves no requests during the warm-up. */
    private static final double MAX_DURATION_MS = 700;

    private static final int ENDPOINTS = 10;
    private static final int CUSTOMERS = 60;
    private static final double COUNTER_LATENCY_MS = 2;
    private static final long REMAINING_MS = 1000;

    private record CounterCall(long name, double total) {}

    private final Configuration config;
    private final EventLoop loop;
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    private final ArrayDeque<CounterCall> counterCalls = new ArrayDeque<>();
    private final Map<Long, Double> totals = new HashMap<>();
    private final RespParser respParser = new RespParser();
    private final HttpParser httpParser = new HttpParser(true, 1024);
    private final InputBuffer input = new InputBuffer(64 * 1024);
    private int requestsSent;
    private int attemptsServed;

    private WarmUp(Configuration config, EventLoop loop) {
        this.config = config;
        this.loop = loop;
    }

    /** Runs the warm-up on the event loop. If it fails, the gateway still starts, but its first requests are slower. */
    static WarmUp run(Configuration config, EventLoop loop, RateLimitedLog log) {
        WarmUp warmUp = new WarmUp(config, loop);
        try {
            warmUp.run(log);
        } catch (MalformedInputException | RuntimeException e) {
            log.info("warm-up failed: " + e);
            warmUp.requestsSent = 0;
            warmUp.attemptsServed = 0;
        }
        return warmUp;
    }

    /** The number of requests sent, 0 if the warm-up failed. */
    int requestsSent() {
        return requestsSent;
    }

    /** The number of attempts to which the simulated endpoints responded, 0 if the warm-up failed. */
    int attemptsServed() {
        return attemptsServed;
    }

    /** Treats synthetic input as read at the moment it arrives. */
    private final class SyntheticInput implements InputClock {
        @Override
        public double now() {
            return loop.now();
        }

        @Override
        public double lastReadAt() {
            return loop.now();
        }

        @Override
        public long completedReads() {
            return requestsSent;
        }
    }

    private void run(RateLimitedLog log) throws MalformedInputException {
        TimerQueue timers = new TimerQueue(new TimerQueue.Alarm() {
            @Override
            public double now() {
                return loop.now();
            }

            @Override
            public void wakeAt(double whenMs) {}
        });
        RequestTable requests = new RequestTable(config.settings(), 1, timers, this, this, e -> {
            throw e;
        });
        requests.endpointsChanged(EndpointListType.SNAPSHOT, endpoints());
        PlatformFrontend frontend =
                new PlatformFrontend(loop, new SyntheticInput(), log, requests, config, 1, () -> true);
        EmbeddedChannel client = new EmbeddedChannel(frontend.accept(log));
        double startedAt = loop.now();
        while (requestsSent < MAX_REQUESTS && loop.now() - startedAt < MAX_DURATION_MS) {
            client.writeInbound(requestCommand(requestsSent++));
            timers.runDue();
            answerAttempts(requests);
            answerCounterCalls(requests);
            releaseOutput(client);
        }
        client.finishAndReleaseAll();
    }

    private static List<Endpoint> endpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 1; i <= ENDPOINTS; i++) {
            endpoints.add(new Endpoint(i, EndpointState.READY, 0, 1, 0, 0));
        }
        return endpoints;
    }

    private void answerAttempts(RequestTable requests) throws MalformedInputException {
        for (Attempt attempt = attempts.poll(); attempt != null; attempt = attempts.poll()) {
            attemptsServed++;
            requests.attemptEnded(attempt, Outcome.OK, sendAndParseResponse(attempt));
        }
    }

    private void answerCounterCalls(RequestTable requests) throws MalformedInputException {
        for (CounterCall call = counterCalls.poll(); call != null; call = counterCalls.poll()) {
            requests.counterAnswered(call.name, Outcome.OK, COUNTER_LATENCY_MS, readTotal(call));
        }
    }

    private static void releaseOutput(EmbeddedChannel client) {
        for (ByteBuf output = client.readOutbound(); output != null; output = client.readOutbound()) {
            output.release();
        }
    }

    private ByteBuf requestCommand(int number) {
        int requestClass = number % config.classes().size();
        boolean idempotent = config.settings().classes().get(requestClass).idempotency() == Idempotency.IDEMPOTENT;
        String[] arguments = {
            idempotent ? "Q.ASK" : "Q.DO",
            "0000000" + Long.toHexString((1L << 32) + number % CUSTOMERS),
            Integer.toHexString(number),
            attributes(number, requestClass),
            "a body of some length"
        };
        ByteBuf command = Unpooled.buffer(256);
        RespWriter.array(command, arguments.length);
        for (String argument : arguments) {
            RespWriter.bulk(command, argument.getBytes(StandardCharsets.UTF_8));
        }
        return command;
    }

    private String attributes(int number, int requestClass) {
        return "c=" + config.classes().get(requestClass)
                + ",t=" + config.plans().get(number / 2 % config.plans().size())
                + ",d=" + config.deadlinesMs().get(requestClass)
                + ",units=1,spread=" + Math.min(2, config.settings().gateways())
                + ",first=0";
    }

    /** Writes the attempt's request and parses a simulated response, as a connection to an endpoint does. */
    private RespResponse sendAndParseResponse(Attempt attempt) throws MalformedInputException {
        ByteBuf buffer = Unpooled.buffer(512);
        ((OutboundRequest) attempt.request()).writeTo(buffer, REMAINING_MS, "127.0.0.1:1");
        buffer.clear();
        RespWriter.array(buffer, 3);
        RespWriter.bulk(buffer, "a value of some length".getBytes(StandardCharsets.US_ASCII));
        RespWriter.bulk(buffer, "used=1".getBytes(StandardCharsets.US_ASCII));
        RespWriter.line(buffer, "$-1");
        input.append(buffer);
        List<?> response = (List<?>) respParser.next(input);
        return new RespResponse((byte[]) response.get(0));
    }

    /** Parses the total from a simulated response of the quota counter. */
    private double readTotal(CounterCall call) throws MalformedInputException {
        String body = Double.toString(call.total);
        ByteBuf buffer = Unpooled.buffer(128);
        buffer.writeCharSequence(
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body, StandardCharsets.US_ASCII);
        input.append(buffer);
        return Double.parseDouble(new String(httpParser.next(input).body(), StandardCharsets.US_ASCII));
    }

    @Override
    public void send(Attempt attempt) {
        attempts.add(attempt);
    }

    @Override
    public boolean abandon(Attempt attempt) {
        return !attempts.remove(attempt);
    }

    @Override
    public void add(long name, double amount, double keepMs) {
        counterCalls.add(new CounterCall(name, totals.merge(name, amount, Double::sum)));
    }
}
