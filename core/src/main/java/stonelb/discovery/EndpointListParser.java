package stonelb.discovery;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.EOFException;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import stonelb.config.Configuration;
import stonelb.config.InvalidConfigurationException;
import stonelb.decision.EndpointState;
import stonelb.io.MalformedInputException;

/**
 * Parses endpoint lists in the JSON format of the discovery service. The list is read as a stream: a tree of all its values
 * could take more than 40 times the memory of the text.
 */
final class EndpointListParser {
    /** The version of a list that states none. */
    static final long NO_VERSION = -1;

    private final JsonReader reader;

    /**
     * An entry of a list.
     *
     * @param address null if the endpoint is removed and its address left out
     * @param sinceMs when the endpoint started, in Unix milliseconds; 0 for long ago
     * @param zone null for none
     */
    record ListEntry(
            String name,
            EndpointState state,
            InetSocketAddress address,
            double sinceMs,
            double weight,
            int group,
            String zone) {}

    /**
     * A list.
     *
     * @param snapshot whether it is complete, rather than a list of changes
     */
    record ParsedList(long version, boolean snapshot, List<ListEntry> entries) {}

    private EndpointListParser(JsonReader reader) {
        this.reader = reader;
    }

    /**
     * Parses a list.
     *
     * @throws MalformedInputException if the text is not JSON or not a list, or if an entry is malformed
     */
    static ParsedList parse(Reader json) throws MalformedInputException {
        JsonReader reader = new JsonReader(json);
        reader.setStrictness(Strictness.LENIENT);
        try {
            if (isEmpty(reader)) {
                throw new MalformedInputException("the list is empty");
            }
            return new EndpointListParser(reader).readList();
        } catch (IOException e) {
            throw new MalformedInputException("the list is not JSON");
        } catch (IllegalStateException | NumberFormatException e) {
            throw new MalformedInputException("the list has an unexpected JSON structure");
        }
    }

    private static boolean isEmpty(JsonReader reader) throws IOException {
        try {
            return reader.peek() == JsonToken.NULL;
        } catch (EOFException e) {
            return true;
        }
    }

    private ParsedList readList() throws IOException, MalformedInputException {
        long version = NO_VERSION;
        boolean snapshot = false;
        List<ListEntry> entries = List.of();
        reader.beginObject();
        while (reader.hasNext()) {
            switch (reader.nextName()) {
                case "index" -> version = (long) readNumber(NO_VERSION);
                case "snapshot" -> snapshot = readFlag();
                case "endpoints" -> entries = readEntries();
                default -> reader.skipValue();
            }
        }
        reader.endObject();
        if (reader.peek() != JsonToken.END_DOCUMENT) {
            throw new MalformedInputException("the list is not JSON");
        }
        return new ParsedList(version, snapshot, entries);
    }

    private List<ListEntry> readEntries() throws IOException, MalformedInputException {
        List<ListEntry> entries = new ArrayList<>();
        if (skipNull()) {
            return entries;
        }
        reader.beginArray();
        while (reader.hasNext()) {
            entries.add(readEntry());
        }
        reader.endArray();
        return entries;
    }

    private ListEntry readEntry() throws IOException, MalformedInputException {
        String name = null;
        String status = null;
        String address = null;
        String zone = null;
        double sinceMs = 0;
        double weight = 1;
        double group = 0;
        reader.beginObject();
        while (reader.hasNext()) {
            switch (reader.nextName()) {
                case "name" -> name = readText();
                case "status" -> status = readText();
                case "address" -> address = readText();
                case "zone" -> zone = readText();
                case "since_ms" -> sinceMs = readNumber(sinceMs);
                case "weight" -> weight = readNumber(weight);
                case "group" -> group = readNumber(group);
                default -> reader.skipValue();
            }
        }
        reader.endObject();
        EndpointState state = state(required("status", status));
        boolean hasAddress = state != EndpointState.REMOVED || address != null;
        return new ListEntry(
                required("name", name),
                state,
                hasAddress ? parseAddress(required("address", address)) : null,
                sinceMs,
                weight,
                (int) group,
                zone);
    }

    private static EndpointState state(String status) {
        return switch (status) {
            case "in_service" -> EndpointState.READY;
            case "terminating" -> EndpointState.DRAINING;
            default -> EndpointState.REMOVED;
        };
    }

    private static InetSocketAddress parseAddress(String address) throws MalformedInputException {
        try {
            return Configuration.address("address", address);
        } catch (InvalidConfigurationException e) {
            throw new MalformedInputException("an entry has no address of the form host:port");
        }
    }

    private static String required(String key, String value) throws MalformedInputException {
        if (value == null) {
            throw new MalformedInputException("an entry has no '" + key + "'");
        }
        return value;
    }

    /** Reads a string or a number as text; null for null. */
    private String readText() throws IOException {
        return skipNull() ? null : reader.nextString();
    }

    private double readNumber(double defaultValue) throws IOException {
        return skipNull() ? defaultValue : reader.nextDouble();
    }

    private boolean readFlag() throws IOException {
        if (reader.peek() == JsonToken.BOOLEAN) {
            return reader.nextBoolean();
        }
        if (reader.peek() == JsonToken.STRING) {
            return Boolean.parseBoolean(reader.nextString());
        }
        reader.skipValue();
        return false;
    }

    private boolean skipNull() throws IOException {
        boolean isNull = reader.peek() == JsonToken.NULL;
        if (isNull) {
            reader.nextNull();
        }
        return isNull;
    }
}
