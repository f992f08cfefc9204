package stonelb.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The quota counter over HTTP: adds to the total of a name and responds with the new total. */
final class StubCounter {
    private final Map<String, Double> totals;
    private final BooleanSupplier unresponsive;
    private final Consumer<String> onCounted;

    /**
     * Sets up a counter.
     *
     * @param totals the totals by name, guarded by the map itself
     * @param unresponsive whether calls are read but neither counted nor answered
     * @param onCounted called with "NAME AMOUNT" of each counted call before its response is sent
     */
    StubCounter(Map<String, Double> totals, BooleanSupplier unresponsive, Consumer<String> onCounted) {
        this.totals = totals;
        this.unresponsive = unresponsive;
        this.onCounted = onCounted;
    }

    /** Serves one connection. */
    void serve(InputStream in, OutputStream out) throws IOException {
        while (true) {
            String target = StubServer.readHttp(in).target();
            if (unresponsive.getAsBoolean()) {
                continue;
            }
            String name = target.replaceAll("/counters/([^?]*).*", "$1");
            double amount = Double.parseDouble(target.replaceAll(".*by=([^&]*).*", "$1"));
            double total;
            synchronized (totals) {
                total = totals.merge(name, amount, Double::sum);
            }
            onCounted.accept(name + " " + amount);
            StubServer.write(out, StubServer.httpResponse(200, "", Double.toString(total)));
        }
    }
}
