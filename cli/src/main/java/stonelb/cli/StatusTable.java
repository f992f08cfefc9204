package stonelb.cli;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import java.io.PrintWriter;

/** Prints the state of a control service: a line about the service, then a table with a row for each proxy. */
final class StatusTable {
    private static final double MS_PER_SECOND = 1000;

    private final PrintWriter out;

    /**
     * Prints to a writer.
     *
     * @param out where to print
     */
    StatusTable(PrintWriter out) {
        this.out = out;
    }

    /**
     * Prints a state.
     *
     * @param state the response of the status service
     */
    void print(Struct state) {
        out.printf(
                "%s, up %.0f s, %.0f streams, %.0f plan servers%n",
                text(state, "name"),
                number(state, "upMs") / MS_PER_SECOND,
                number(state, "streams"),
                number(state, "planServers"));
        out.printf(
                "%-20s %8s %8s %8s %8s %6s %9s %9s %6s  %s%n",
                "proxy",
                "buckets",
                "leased",
                "granted",
                "used",
                "drift",
                "report ms",
                "load ms",
                "odd",
                "versions sent/acknowledged");
        for (Value proxy : state.getFieldsOrThrow("proxies").getListValue().getValuesList()) {
            printProxy(proxy.getStructValue());
        }
        out.flush();
    }

    private void printProxy(Struct proxy) {
        String versions = versions(proxy);
        out.printf(
                "%-20s %8.0f %8.0f %8.0f %8.0f %6.0f %9.0f %9.0f %6.0f  %s%n",
                text(proxy, "node"),
                number(proxy, "buckets"),
                number(proxy, "leased"),
                number(proxy, "granted"),
                number(proxy, "used"),
                number(proxy, "drift"),
                number(proxy, "reportAgeMs"),
                number(proxy, "loadAgeMs"),
                number(proxy, "oddReports"),
                versions.isEmpty() ? "away for " + (long) number(proxy, "awayMs") + " ms" : versions);
    }

    /** Returns the versions of every resource type on every stream of a proxy; empty if it has no stream. */
    private static String versions(Struct proxy) {
        StringBuilder versions = new StringBuilder();
        for (Value stream : proxy.getFieldsOrThrow("streams").getListValue().getValuesList()) {
            stream.getStructValue().getFieldsMap().forEach((resourceType, value) -> {
                if (value.hasStructValue()) {
                    appendSubscription(versions, resourceType, value.getStructValue());
                }
            });
        }
        return versions.toString();
    }

    private static void appendSubscription(StringBuilder versions, String resourceType, Struct subscription) {
        boolean acknowledged =
                subscription.getFieldsOrThrow("sent").equals(subscription.getFieldsOrThrow("acknowledged"));
        versions.append(resourceType).append(acknowledged ? " ok " : " waits ");
        if (subscription.containsFields("rejected")) {
            versions.append("REJECTED(").append(text(subscription, "rejected")).append(") ");
        }
    }

    private static String text(Struct struct, String key) {
        return struct.getFieldsOrThrow(key).getStringValue();
    }

    private static double number(Struct struct, String key) {
        return struct.getFieldsOrThrow(key).getNumberValue();
    }
}
