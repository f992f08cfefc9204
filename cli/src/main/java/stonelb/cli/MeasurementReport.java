package stonelb.cli;

import com.google.gson.Gson;
import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Map;

/** Collects the figures of a measurement and checks those that have a bound. */
final class MeasurementReport {
    private final PrintWriter out;
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private boolean allWithinBounds = true;

    /**
     * Starts an empty report.
     *
     * @param out where figures are printed
     */
    MeasurementReport(PrintWriter out) {
        this.out = out;
    }

    PrintWriter out() {
        return out;
    }

    boolean allWithinBounds() {
        return allWithinBounds;
    }

    /** Adds a figure without a bound; it appears only in the JSON output. */
    void record(String name, Number value) {
        figures.put(name, value);
    }

    /** Adds a figure, prints it and checks that it is at most {@code bound}. */
    void check(String name, double value, double bound) {
        boolean within = value <= bound;
        allWithinBounds &= within;
        figures.put(name, value);
        out.printf("%-34s %10.2f  bound %8.2f  %s%n", name, value, bound, within ? "held" : "SHORT");
        out.flush();
    }

    /** Prints all figures as one JSON object on one line. */
    void printJson() {
        out.println(new Gson().toJson(figures));
    }
}
