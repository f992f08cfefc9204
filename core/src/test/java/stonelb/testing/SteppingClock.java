package stonelb.testing;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;

/** A running clock in milliseconds that a test steps forward. */
public final class SteppingClock implements DoubleSupplier {
    private static final double NANOS_PER_MS = 1e6;

    private final AtomicLong steppedMs = new AtomicLong();

    @Override
    public double getAsDouble() {
        return System.nanoTime() / NANOS_PER_MS + steppedMs.get();
    }

    /** Steps the clock forward. */
    public void step(long ms) {
        steppedMs.addAndGet(ms);
    }
}
