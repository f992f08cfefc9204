package stonelb.io;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.function.DoubleConsumer;

/** A delegating I/O handler that reports, after all ready I/O has been processed, how long that took. */
final class InputTimeIoHandler implements IoHandler {
    private static final double NANOS_PER_MS = 1e6;

    private final IoHandler delegate;
    private final DoubleConsumer onProcessed;

    /** Creates a handler that passes to {@code onProcessed} the milliseconds since the wait for I/O returned. */
    InputTimeIoHandler(IoHandler delegate, DoubleConsumer onProcessed) {
        this.delegate = delegate;
        this.onProcessed = onProcessed;
    }

    /** Makes the delegate report its active time, which begins when its wait for I/O returns. */
    private static final class MeasuringContext implements IoHandlerContext {
        private final IoHandlerContext delegate;
        private long activeNanos;

        MeasuringContext(IoHandlerContext delegate) {
            this.delegate = delegate;
        }

        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return delegate.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            activeNanos = nanos;
        }
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        MeasuringContext measuring = new MeasuringContext(context);
        int handled = delegate.run(measuring);
        onProcessed.accept(measuring.activeNanos / NANOS_PER_MS);
        return handled;
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }
}
