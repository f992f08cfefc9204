package stonelb.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayDeque;
import stonelb.io.Connection;
import stonelb.io.Log;
import stonelb.io.Malformed;

/** A client link: one client's connection to a front. Answers leave in the order of what was asked on it. */
public abstract class FrontLink extends Connection implements ChannelFutureListener {
    private static final int MOST_BYTES = 256 * 1024;
    private static final int MOST_WAITING = 512;   // asked and unanswered; more is read once some are answered

    /** The place of one message in the order of answers. */
    public interface Slot {
        boolean ready();

        void writeAnswer(ByteBuf out);
    }

    /** An answer that is known at once. */
    public interface Ready extends Slot {
        @Override
        default boolean ready() {
            return true;
        }
    }

    private final Front front;
    private final ArrayDeque<Slot> order = new ArrayDeque<>();
    private boolean last;   // nothing more is answered: it closes after its answers
    private boolean ended;  // its sending side has
    private boolean spoilt; // by what its client sent
    private int writing;    // answers handed over that the socket has not taken yet
    private double restsSince;     // of being up, or of the last answer
    private double partSince = -1; // a message has begun and is not whole, or below 0
    private int unread;            // bytes that the front counts as held for it

    protected FrontLink(Front front, Log log) {
        super(MOST_BYTES, log);
        this.front = front;
    }

    final Front front() {
        return front;
    }

    /** Takes one message off the input and acts on it; false where it is not whole yet. */
    protected abstract boolean readOne() throws Malformed;

    /** Whether a message has begun and is not whole. */
    protected abstract boolean within();

    /** Bytes of that message that are off the input buffer. */
    protected abstract int held();

    /** Says on the wire what was wrong with the input. */
    protected abstract Slot complaint(String why);

    @Override
    protected final void opened() {
        restsSince = front.now();
        front.opened(this);
    }

    @Override
    protected final void received() throws Malformed {
        while (!last && order.size() < MOST_WAITING && readOne()) {
            partSince = -1;
        }
        partSince = !within() ? -1 : partSince < 0 ? front.now() : partSince;
        if (last) {
            in.skip(in.size());   // what comes after the end can't be told apart
        }
        int before = unread;
        unread = last ? 0 : in.capacity() + held();
        if (!front.holds(unread - before) && partSince >= 0) {
            throw new Malformed("too many bytes of messages wait on all links");
        }
        flow();
    }

    /** Begins a query, or throttles it where the front holds too much already. */
    protected final void ask(FrontQuery query) {
        enqueue(query);
        if (front.admits(query)) {
            front.begin(query);
        } else {
            log.warn("too many open queries", "throttled until some are answered");
            query.throttle();
        }
    }

    protected final void answer(Slot slot) {
        enqueue(slot);
        flush();
    }

    private void enqueue(Slot slot) {
        if (order.isEmpty()) {
            front.works(this);
        }
        order.add(slot);
    }

    /** Since when nothing has been open on it. */
    final double restsSince() {
        return restsSince;
    }

    /** Ends a link of no use: half a message is complained of, all else ends without a word. */
    final void giveUp() {
        if (partSince >= 0 && !last) {
            malformed("a message stays half sent");
        } else {
            close();
        }
    }

    /** Guards against input that never becomes whole, behind queries that are open too. */
    final void stalled(double before) {
        if (partSince >= 0 && partSince < before && !last) {
            malformed("a message stays half sent");
        }
    }

    /** Nothing more is read on it; it ends once nothing is owed. */
    protected final void lastRead() {
        last = true;
    }

    public final boolean isLast() {
        return last;
    }

    /** Writes what is ready at the head of the order. */
    final void flush() {
        if (!isOpen() || order.isEmpty() || !order.peek().ready()) {
            return;
        }
        boolean full = order.size() >= MOST_WAITING;
        ByteBuf out = buffer(512);
        while (!order.isEmpty() && order.peek().ready()) {
            Slot slot = order.poll();
            // With an answer, since an idle client would more likely have sent a query that crosses the end.
            last |= front.leaving() && order.isEmpty() && in.size() == 0 && !within();
            slot.writeAnswer(out);
        }
        if (full && !last) {
            front.later(this);
        }
        if (order.isEmpty()) {
            restsSince = front.now();
            front.rests(this);
        }
        writing++;
        send(out).addListener(this);
    }

    /** The socket has taken what was written, or never will. */
    @Override
    public final void operationComplete(ChannelFuture write) {
        writing--;
        if (write.isSuccess()) {
            endIfLast();
        } else {
            close();
        }
    }

    /** Reads what waited for its turn. */
    final void resume() {
        try {
            if (isOpen()) {
                received();
            }
        } catch (Malformed e) {
            malformed(e.getMessage());
        }
    }

    /**
     * Guards against a client that asks without reading: nothing more is read until it does. And against a query that
     * crosses the end of its link: its client sends it once more if it was not read here, and waits in vain if it was.
     * Behind spoilt input there are no queries, and it is read, so that the complaint is not reset.
     */
    private void flow() {
        if (isOpen()) {
            channel().config().setAutoRead(ended ? spoilt : order.size() < MOST_WAITING && channel().isWritable());
        }
    }

    @Override
    public final void channelWritabilityChanged(ChannelHandlerContext context) {
        flow();
    }

    /** What was taken before is still answered, in order; then the link ends. */
    @Override
    protected final void malformed(String why) {
        log.warn("client sent malformed input", why);
        if (!last) {
            last = true;
            spoilt = true;
            in.skip(in.size());
            answer(complaint(why));
        }
    }

    /** Ends the link once nothing is owed on it. */
    final void finish() {
        last = true;
        endIfLast();
    }

    /** Guards against the end of a link whose client reads slowly: to end its sending drops what is not written yet. */
    private void endIfLast() {
        if (last && !ended && order.isEmpty() && writing == 0 && isOpen()) {
            // The sending side first: to close with input unread would reset answers on their way.
            ((DuplexChannel) channel()).shutdownOutput();
            ended = true;
            flow();
            front.closeSoon(this);
        }
    }

    @Override
    protected final void closed() {
        front.closed(this);
        front.holds(-unread);
        unread = 0;
        for (Slot slot : order) {
            if (slot instanceof FrontQuery query && !query.done()) {
                front.withdraw(query);
            }
        }
        order.clear();
    }
}
