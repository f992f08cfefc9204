package stonelb.cli;

import java.util.List;

/**
 * A plan of customers in the measurements.
 *
 * @param name the plan's name in the configuration
 * @param unitsPerSecond the rate of its quota
 * @param burst the units a customer may spend at once
 */
record QuotaPlan(String name, double unitsPerSecond, double burst) {
    private static final QuotaPlan SMALL = new QuotaPlan("consulta", 0.7, 3.5);

    /** The one plan of the measurements with a hard ceiling. */
    static final QuotaPlan CEILING = new QuotaPlan("centro", 2.2, 10);

    private static final QuotaPlan LARGE = new QuotaPlan("red", 8, 16);

    /** The plans of the measurements: a small quota, one with a ceiling, and one that may be exceeded. */
    static final List<QuotaPlan> MEASURED = List.of(SMALL, CEILING, LARGE);

    /** The units per second that a customer of {@link #CEILING} may never exceed for long. */
    static final double CEILING_UNITS_PER_SECOND = 4.4;

    /** The units that a customer of {@link #CEILING} may spend at once. */
    static final double CEILING_BURST = 20;

    /** {@link #MEASURED} as JSON for a gateway's settings. */
    static final String MEASURED_SETTINGS =
            "{\"name\":\"consulta\",\"unitsPerS\":0.7,\"depth\":3.5,\"worthFactor\":0.8,\"overrunCost\":1},"
                    + "{\"name\":\"centro\",\"unitsPerS\":2.2,\"depth\":10,\"capRate\":4.4,\"hardBurst\":20,\"hardSlack\":2,"
                    + "\"worthFactor\":1.3,\"overrunCost\":1},"
                    + "{\"name\":\"red\",\"unitsPerS\":8,\"depth\":16,\"worthFactor\":1.4,\"overWorth\":0.2}";
}
