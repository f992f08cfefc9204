package stonelb.decision.simulator;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import stonelb.decision.AttemptLimits;
import stonelb.decision.CounterSettings;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DeduplicationScope;
import stonelb.decision.Idempotency;
import stonelb.decision.Plan;
import stonelb.decision.RequestClass;
import stonelb.decision.SlowStart;

/** Parses the settings of an engine from JSON. Unknown keys are ignored. */
public record SettingsParser(DecisionSettings settings) {

    static SettingsParser parse(byte[] json) throws SimulatorFrames.MalformedFrameException {
        try {
            JsonObject root = new Gson().fromJson(new String(json, StandardCharsets.UTF_8), JsonObject.class);
            if (root == null) {
                throw new SimulatorFrames.MalformedFrameException("the settings are empty");
            }
            return new SettingsParser(settings(root));
        } catch (JsonParseException
                | ClassCastException
                | IllegalStateException
                | UnsupportedOperationException
                | NumberFormatException e) {
            throw new SimulatorFrames.MalformedFrameException("the settings are not the JSON expected: " + oneLine(e));
        }
    }

    /** Reads the settings from the configuration of a gateway. */
    public static DecisionSettings read(JsonObject root) {
        try {
            return settings(root);
        } catch (SimulatorFrames.MalformedFrameException
                | ClassCastException
                | IllegalStateException
                | UnsupportedOperationException
                | NumberFormatException e) {
            throw new IllegalArgumentException("the settings are not the JSON expected: " + oneLine(e), e);
        }
    }

    private static DecisionSettings settings(JsonObject root) throws SimulatorFrames.MalformedFrameException {
        List<RequestClass> classes = new ArrayList<>();
        for (JsonElement entry : array(root, "categories")) {
            classes.add(requestClass(entry.getAsJsonObject()));
        }
        List<Plan> plans = new ArrayList<>();
        for (JsonElement entry : array(root, "tiersOfService")) {
            plans.add(plan(entry.getAsJsonObject()));
        }
        AttemptLimits attemptLimits = attemptLimits(object(root, "allowed"));
        SlowStart slowStart = slowStart(object(root, "rules"));
        JsonObject quota = object(root, "familyInfo");
        CounterSettings counter = new CounterSettings(flag(quota, "counter"), number(quota, "countWaitMs"));
        return new DecisionSettings(
                (int) number(root, "balancers"),
                List.copyOf(classes),
                List.copyOf(plans),
                attemptLimits,
                slowStart,
                counter,
                number(root, "stepMs"),
                "on_request".equals(text(root, "discovery")),
                flag(quota, "costAfter"),
                number(quota, "largest"));
    }

    private static Plan plan(JsonObject entry) {
        return new Plan(
                number(entry, "unitsPerS"),
                number(entry, "depth"),
                (int) number(entry, "maxOut"),
                number(entry, "capRate"),
                number(entry, "hardBurst"),
                number(entry, "worthFactor"),
                number(entry, "overWorth"),
                number(entry, "overrunCost"));
    }

    private static AttemptLimits attemptLimits(JsonObject allowed) {
        return new AttemptLimits(
                (int) number(allowed, "maxAttempts"),
                flag(allowed, "secondCopies"),
                flag(allowed, "cancelling"),
                flag(allowed, "retryAfter"),
                number(allowed, "maxRetryAfterMs"));
    }

    private static SlowStart slowStart(JsonObject rules) {
        return new SlowStart(number(rules, "coldFrom"), number(rules, "rampTimeMs"), number(rules, "fallMs"));
    }

    private static RequestClass requestClass(JsonObject entry) throws SimulatorFrames.MalformedFrameException {
        String effect = text(entry, "effect");
        String group = text(entry, "group");
        return new RequestClass(
                number(entry, "promiseMs"),
                switch (effect) {
                    case "idempotent" -> Idempotency.IDEMPOTENT;
                    case "deduplicated" -> Idempotency.IDEMPOTENCY_KEY;
                    case "at_most_once" -> Idempotency.AT_MOST_ONCE;
                    default ->
                        throw new SimulatorFrames.MalformedFrameException(
                                "unknown effect '" + effect + "' in the settings");
                },
                switch (group) {
                    case "all", "" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default ->
                        throw new SimulatorFrames.MalformedFrameException(
                                "unknown group '" + group + "' in the settings");
                },
                number(entry, "windowMs"),
                number(entry, "worth"));
    }

    private static JsonObject object(JsonObject in, String key) {
        JsonElement value = in.get(key);
        return value == null || value.isJsonNull() ? new JsonObject() : value.getAsJsonObject();
    }

    private static JsonArray array(JsonObject in, String key) {
        JsonElement value = in.get(key);
        return value == null || value.isJsonNull() ? new JsonArray() : value.getAsJsonArray();
    }

    private static double number(JsonObject in, String key) {
        JsonElement value = in.get(key);
        return value == null || value.isJsonNull() ? 0 : value.getAsDouble();
    }

    private static boolean flag(JsonObject in, String key) {
        JsonElement value = in.get(key);
        return value != null && !value.isJsonNull() && value.getAsBoolean();
    }

    private static String text(JsonObject in, String key) {
        JsonElement value = in.get(key);
        return value == null || value.isJsonNull() ? "" : value.getAsString();
    }

    private static String oneLine(Exception exception) {
        return String.valueOf(exception.getMessage()).lines().findFirst().orElse("");
    }
}
