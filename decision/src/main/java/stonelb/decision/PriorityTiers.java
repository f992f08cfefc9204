package stonelb.decision;

import java.util.stream.IntStream;

/** Ranges of request weight, the class's priority weight times the plan's price, separated at the widest gaps. */
final class PriorityTiers {
    /** The lowest weight of each tier above the first, in ascending order. */
    private final double[] thresholds;

    /** Groups the weights of all classes and plans; weights that are not positive belong to the lowest tier. */
    PriorityTiers(DecisionSettings settings, int maxTiers) {
        double[] weights = settings.classes().stream()
                .flatMapToDouble(type -> settings.plans().stream().mapToDouble(plan -> weight(type, plan)))
                .filter(weight -> weight > 0)
                .sorted()
                .distinct()
                .toArray();
        thresholds = IntStream.range(1, weights.length)
                .boxed()
                .sorted((left, right) ->
                        Double.compare(weights[right] / weights[right - 1], weights[left] / weights[left - 1]))
                .limit(maxTiers - 1)
                .mapToDouble(index -> weights[index])
                .sorted()
                .toArray();
    }

    static double weight(RequestClass requestClass, Plan plan) {
        return requestClass.priorityWeight() * plan.price();
    }

    int count() {
        return thresholds.length + 1;
    }

    /** The tier of a weight; 0 is the lowest. */
    int tierOf(double weight) {
        int tier = 0;
        while (tier < thresholds.length && weight >= thresholds[tier]) {
            tier++;
        }
        return tier;
    }
}
