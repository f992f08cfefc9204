package stonelb.cli;

/**
 * The load of customers, as a multiple of their quota rates.
 *
 * @param name the name in reports
 * @param load the multiple outside a burst
 * @param burstPlan the plan whose customers send more during the middle third of the traffic; null for none
 * @param burstFactor the factor applied to {@code load} for them
 */
record TrafficShape(String name, double load, QuotaPlan burstPlan, double burstFactor) {

    /** Traffic without a burst. */
    static TrafficShape steady(String name, double load) {
        return new TrafficShape(name, load, null, 1);
    }
}
