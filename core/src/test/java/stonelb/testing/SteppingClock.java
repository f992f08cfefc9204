package stonelb.testing;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;

/** A running clock in milliseconds that a test can step forward. */
public final class SteppingClock implements DoubleSupplier {
    private static final double NANOS_PER_MS = 1e6;

    private final AtomicLong offsetMs = new AtomicLong();

    @Override
    public double getAsDouble() {
        return System.nanoTime() / NANOS_PER_MS + offsetMs.get();
    }

    /** Steps the clock forward. */
    public void step(long ms) {
        offsetMs.addAndGet(ms);
    }
}
