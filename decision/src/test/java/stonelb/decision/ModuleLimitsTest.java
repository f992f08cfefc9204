package stonelb.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits the size of the decision files, which are read as a whole; their first line names the interface file. */
class ModuleLimitsTest {
    private static final List<String> DECISION_FILES = List.of(
            "DefaultDecisionEngine",
            "RequestDispatcher",
            "AttemptRules",
            "AttemptTimeouts",
            "AttemptFeedback",
            "EndpointSelector",
            "EndpointHealth",
            "LatencyRules",
            "SlotAllocator",
            "CounterHealth",
            "QuotaLease",
            "QuotaTerms",
            "CeilingBudget",
            "SharedQuota",
            "InFlightCap");

    private static List<String> lines(String type) throws IOException {
        return Files.readAllLines(Path.of("src/main/java/stonelb/decision", type + ".java"));
    }

    private static List<String> decisionLines() throws IOException {
        List<String> all = new ArrayList<>();
        for (String type : DECISION_FILES) {
            all.addAll(lines(type));
        }
        return all;
    }

    @Test
    void staysWithin1010Lines() throws IOException {
        long count = decisionLines().stream().filter(line -> !line.isBlank()).count();
        assertTrue(count <= 1010, count + " lines");
    }

    @Test
    void staysWithin110Columns() throws IOException {
        assertEquals(
                List.of(),
                decisionLines().stream().filter(line -> line.length() > 110).toList());
    }

    @Test
    void namesTheInterfaceFileAtTheTop() throws IOException {
        assertTrue(lines("DefaultDecisionEngine").get(0).contains("DecisionEngine.java"));
    }
}
