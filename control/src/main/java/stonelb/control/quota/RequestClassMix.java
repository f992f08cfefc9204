package stonelb.control.quota;

/** Assigns classes to simulated requests in the proportions that the proxy reports. */
final class RequestClassMix {
    /** The factor applied to the earlier counts with each new one. */
    private static final double DECAY = 0.7;

    /** Its multiples modulo 1 are evenly spread over the unit interval, so that classes alternate in any proportion. */
    private static final double GOLDEN_RATIO_CONJUGATE = 0.6180339887498949;

    private final double[] counts;

    RequestClassMix(int classes) {
        counts = new double[classes];
    }

    /** Counts requests of a class that the proxy has sent. */
    void observe(int requestClass, long issued) {
        counts[requestClass] = counts[requestClass] * DECAY + issued;
    }

    /** The class of the simulated request with this number, deterministic; round robin before the first count. */
    int classOf(long requestNumber) {
        double total = 0;
        for (double count : counts) {
            total += count;
        }
        if (total <= 0) {
            return (int) (requestNumber % counts.length);
        }
        double position = (requestNumber * GOLDEN_RATIO_CONJUGATE) % 1 * total;
        for (int requestClass = 0; requestClass < counts.length; requestClass++) {
            position -= counts[requestClass];
            if (position < 0) {
                return requestClass;
            }
        }
        return counts.length - 1;
    }
}
