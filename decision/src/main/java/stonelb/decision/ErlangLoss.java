package stonelb.decision;

/** Erlang's loss formula: the share of arrivals that find every server of a group busy. */
final class ErlangLoss {
    private ErlangLoss() {}

    /** The loss of groups of 0 to {@code servers} servers under the offered load. */
    static double[] table(int servers, double offeredErlangs) {
        double[] loss = new double[servers + 1];
        loss[0] = 1;
        for (int count = 1; count <= servers; count++) {
            loss[count] = withOneMoreServer(loss[count - 1], count, offeredErlangs);
        }
        return loss;
    }

    /** The loss of one group of {@code servers} servers under the offered load. */
    static double of(int servers, double offeredErlangs) {
        double loss = 1;
        for (int count = 1; count <= servers; count++) {
            loss = withOneMoreServer(loss, count, offeredErlangs);
        }
        return loss;
    }

    private static double withOneMoreServer(double loss, int servers, double offeredErlangs) {
        return offeredErlangs * loss / (servers + offeredErlangs * loss);
    }
}
