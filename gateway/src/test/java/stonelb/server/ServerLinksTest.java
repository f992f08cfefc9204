package stonelb.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lichenbeam.Gateway.Allowed;
import lichenbeam.Gateway.Effect;
import lichenbeam.Gateway.Group;
import lichenbeam.Gateway.ListMode;
import lichenbeam.Gateway.Phase;
import lichenbeam.Gateway.Plan;
import lichenbeam.Gateway.RequestClass;
import lichenbeam.Gateway.Rules;
import lichenbeam.Gateway.Server;
import lichenbeam.Gateway.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import stonelb.core.Core;
import stonelb.core.Query;
import stonelb.core.Reply;
import stonelb.io.Log;
import stonelb.io.Loop;
import stonelb.standins.Peer;

/** Server links on a clock that moves as the test says, so that what a link waits for comes only then. */
class ServerLinksTest {
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private volatile double clock = 1_000_000;
    private volatile long runsSince;   // 0: the clock stands still
    private volatile Runnable whenServed = () -> { };
    private final Loop loop = new Loop(new Log(), () -> clock + (runsSince == 0 ? 0 : (System.nanoTime() - runsSince) / 1e6));
    private Core core;

    @AfterEach
    void stop() {
        loop.end();
    }

    /** One plan server, at the listener. */
    private void begin(ServerSocket listener) {
        loop.execute(() -> {
            ServerLinks links = new ServerLinks(loop, new Log(), 5000, 30_000, 64, 0);
            core = new Core(new Settings(1, List.of(new RequestClass(5000, Effect.UNSAFE, Group.ALL, 5000, 3)),
                    List.of(new Plan(0, 0, 0, 0, 0, 1, 0, 1)), new Allowed(6, false, true, true, 1000),
                    new Rules(0.2, 1000, 1500), new lichenbeam.Gateway.Counter(false, 50), 2, false, false, 1), 7,
                    loop.timers(), links, (name, amount, keep) -> { }, e -> answers.add(e.toString()));
            links.begin(core);
            links.host(1, "s", (InetSocketAddress) listener.getLocalSocketAddress(), true, 0);
            core.servers(ListMode.FULL, List.of(new Server(1, Phase.READY, 0, 1, 0, 0)));
        });
    }

    /** One that must never run twice. */
    private final class Unsafe extends Query implements Outbound {
        Unsafe() {
            super(new Terms(0, 0, 5, 1_020_000, 1, 1, false));
        }

        @Override
        public Kind kind() {
            return Kind.RESP;
        }

        @Override
        public void writeTo(ByteBuf out, long leftMs, String authority) {
            out.writeByte('x');
        }

        @Override
        protected void served(Reply reply) {
            answers.add(new String(((RespReply) reply).bytes(), StandardCharsets.US_ASCII));
            whenServed.run();
        }

        @Override
        protected void refused(double retryAfterMs) {
            answers.add("refused");
        }

        @Override
        protected void failed(Failure why) {
            answers.add("failed");
        }
    }

    /** Guards against a request that is written to a link which is reset as soon as it is up: it never ran. */
    @Test
    void aLinkThatEndsAtOnceProvesThatNothingRan() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            Thread closer = new Thread(() -> {
                try {
                    while (true) {
                        try (Socket s = listener.accept()) {
                            s.setSoLinger(true, 0);
                        }
                    }
                } catch (IOException e) {
                    // the test has ended
                }
            });
            closer.setDaemon(true);
            closer.start();
            begin(listener);
            loop.execute(() -> core.query(new Unsafe()));
            assertEquals("refused", answers.poll(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a second answer that came in time, but is read only after the next query went out behind it. */
    @Test
    void aSecondAnswerThatALateLoopHasNotReadIsNotTakenForTheNext() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            listener.setSoTimeout(20_000);
            runsSince = System.nanoTime();
            begin(listener);
            loop.execute(() -> core.query(new Unsafe()));
            Socket first = listener.accept();
            whenServed = () -> {
                whenServed = () -> { };
                try {
                    Peer.write(first.getOutputStream(), "*1\r\n$5\r\nagain\r\n");
                } catch (IOException e) {
                    answers.add(e.toString());
                }
                loop.execute(() -> core.query(new Unsafe()));
                clock += 10;             // all of the link's rest passes here, and the loop
                loop.wakeAt(loop.now()); // finds out before it reads anything
            };
            assertEquals('x', first.getInputStream().read());
            Peer.write(first.getOutputStream(), "*1\r\n$5\r\nfirst\r\n");
            assertEquals("first", answers.poll(20, TimeUnit.SECONDS));
            Socket second = listener.accept();
            second.setSoTimeout(20_000);
            assertEquals('x', second.getInputStream().read(), "the next query goes out on a link of its own");
            Peer.write(second.getOutputStream(), "*1\r\n$6\r\nsecond\r\n");
            assertEquals("second", answers.poll(20, TimeUnit.SECONDS));
        }
    }
}
