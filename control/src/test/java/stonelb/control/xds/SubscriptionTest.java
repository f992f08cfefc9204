package stonelb.control.xds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.google.protobuf.StringValue;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the updates of a subscription after requests, ACKs, NACKs and changes in different orders. */
class SubscriptionTest {

    private static Map<String, VersionedMessage> resources(String... namesAndContents) {
        Map<String, VersionedMessage> resources = new TreeMap<>();
        for (int i = 0; i < namesAndContents.length; i += 2) {
            resources.put(namesAndContents[i], VersionedMessage.of(StringValue.of(namesAndContents[i + 1])));
        }
        return resources;
    }

    @Test
    void rejectedContentIsNotSentAgainAndNewContentIs() {
        Subscription stateOfTheWorld = new Subscription(ResourceType.ROUTES);
        stateOfTheWorld.requestReceived(List.of("a", "b"), "");
        assertEquals(
                Set.of("a", "b"),
                stateOfTheWorld
                        .stateOfTheWorldUpdate(resources("a", "1", "b", "1"), false)
                        .resources()
                        .keySet());
        stateOfTheWorld.requestReceived(List.of("a", "b"), ""); // a NACK names the previous version, which is none
        assertNull(stateOfTheWorld.stateOfTheWorldUpdate(resources("a", "1", "b", "1"), false));
        assertNotNull(stateOfTheWorld.stateOfTheWorldUpdate(resources("a", "1", "b", "2"), false));
    }

    @Test
    void missingNameDoesNotBlockOthersAndIsSentOnceItExists() {
        Subscription stateOfTheWorld = new Subscription(ResourceType.ENDPOINTS);
        stateOfTheWorld.requestReceived(List.of("a", "later"), "");
        assertEquals(
                Set.of("a"),
                stateOfTheWorld
                        .stateOfTheWorldUpdate(resources("a", "1"), false)
                        .resources()
                        .keySet());
        assertNull(stateOfTheWorld.stateOfTheWorldUpdate(resources("a", "1"), false));
        assertEquals(
                Set.of("a", "later"),
                stateOfTheWorld
                        .stateOfTheWorldUpdate(resources("a", "1", "later", "1"), false)
                        .resources()
                        .keySet());

        Subscription incremental = new Subscription(ResourceType.ENDPOINTS);
        incremental.requestReceived(List.of("a", "later"), List.of(), Map.of());
        ResourceUpdate first = incremental.incrementalUpdate(resources("a", "1"), false);
        assertEquals(Set.of("a"), first.resources().keySet());
        assertEquals(List.of("later"), first.removed(), "names that do not exist are reported as removed");
        assertEquals(
                Set.of("later"),
                incremental
                        .incrementalUpdate(resources("a", "1", "later", "1"), false)
                        .resources()
                        .keySet());
    }

    @Test
    void emptyListIsWildcardOnlyUntilNamesWereGiven() {
        Subscription stateOfTheWorld = new Subscription(ResourceType.CLUSTER);
        stateOfTheWorld.requestReceived(List.of(), "");
        assertEquals(
                2,
                stateOfTheWorld
                        .stateOfTheWorldUpdate(resources("a", "1", "b", "1"), false)
                        .resources()
                        .size());
        stateOfTheWorld.requestReceived(List.of("a"), "");
        assertNull(
                stateOfTheWorld.stateOfTheWorldUpdate(resources("a", "1", "b", "1"), false),
                "the client already has a");
        stateOfTheWorld.requestReceived(List.of(), "");
        assertNull(
                stateOfTheWorld.stateOfTheWorldUpdate(resources("a", "2", "b", "2"), false),
                "the client has unsubscribed from all");
        stateOfTheWorld.requestReceived(List.of("*"), "");
        assertEquals(
                2,
                stateOfTheWorld
                        .stateOfTheWorldUpdate(resources("a", "2", "b", "2"), false)
                        .resources()
                        .size());
    }

    @Test
    void reconnectingProxyIsSentOnlyTheChanges() {
        Map<String, VersionedMessage> current = resources("a", "1", "b", "2");
        Subscription incremental = new Subscription(ResourceType.CLUSTER);
        incremental.requestReceived(
                List.of(), List.of(), Map.of("a", current.get("a").version(), "b", "old", "gone", "old"));
        ResourceUpdate update = incremental.incrementalUpdate(current, false);
        assertEquals(Set.of("b"), update.resources().keySet());
        assertEquals(List.of("gone"), update.removed());

        Subscription first = new Subscription(ResourceType.CLUSTER);
        first.requestReceived(List.of(), "");
        first.stateOfTheWorldUpdate(current, false);
        Subscription reconnected = new Subscription(ResourceType.CLUSTER);
        reconnected.requestReceived(List.of(), first.version(current));
        assertNull(
                reconnected.stateOfTheWorldUpdate(current, false),
                "the version that the client names has the same content");
        Subscription stale = new Subscription(ResourceType.CLUSTER);
        stale.requestReceived(List.of(), first.version(current));
        assertNotNull(stale.stateOfTheWorldUpdate(resources("a", "1", "b", "3"), false));
    }

    @Test
    void unchangedEndpointsAreSentAgainAfterClusters() {
        Subscription stateOfTheWorld = new Subscription(ResourceType.ENDPOINTS);
        stateOfTheWorld.requestReceived(List.of("a"), "");
        stateOfTheWorld.stateOfTheWorldUpdate(resources("a", "1"), false);
        assertNotNull(stateOfTheWorld.stateOfTheWorldUpdate(resources("a", "1"), true));
        Subscription incremental = new Subscription(ResourceType.ENDPOINTS);
        incremental.requestReceived(List.of("a"), List.of(), Map.of());
        incremental.incrementalUpdate(resources("a", "1"), false);
        assertNotNull(incremental.incrementalUpdate(resources("a", "1"), true));
    }

    /**
     * In any order of subscribing, unsubscribing, changes and responses a client gets the current resources it
     * subscribes to.
     */
    @Property(tries = 400, seed = "20262")
    void bothVariantsConvergeAndSendNothingTwice(@ForAll long seed) {
        Random random = new Random(seed);
        Subscription stateOfTheWorld = new Subscription(ResourceType.ENDPOINTS);
        Subscription incremental = new Subscription(ResourceType.ENDPOINTS);
        Set<String> names = new TreeSet<>();
        Map<String, VersionedMessage> current = resources();
        Map<String, String> heldByStateOfTheWorld = new TreeMap<>();
        Map<String, String> heldByIncremental = new TreeMap<>();
        stateOfTheWorld.requestReceived(names, "");
        incremental.requestReceived(List.of(), List.of(), Map.of());
        for (int step = 0; step < 60; step++) {
            String name = "r" + random.nextInt(5);
            switch (random.nextInt(4)) {
                case 0 -> {
                    current = new TreeMap<>(current);
                    current.putAll(resources(name, "v" + random.nextInt(3)));
                }
                case 1 -> {
                    current = new TreeMap<>(current);
                    current.remove(name);
                }
                case 2 -> {
                    if (names.add(name)) {
                        stateOfTheWorld.requestReceived(names, "x");
                        incremental.requestReceived(List.of(name), List.of(), Map.of());
                    }
                }
                default -> {
                    if (names.remove(name)) {
                        stateOfTheWorld.requestReceived(names, "x");
                        incremental.requestReceived(List.of(), List.of(name), Map.of());
                        heldByStateOfTheWorld.remove(name);
                        heldByIncremental.remove(name);
                    }
                }
            }
            if (random.nextBoolean()) {
                ResourceUpdate stateOfTheWorldUpdate = stateOfTheWorld.stateOfTheWorldUpdate(current, false);
                if (stateOfTheWorldUpdate != null) {
                    stateOfTheWorldUpdate
                            .resources()
                            .forEach((subscribedName, resource) ->
                                    heldByStateOfTheWorld.put(subscribedName, resource.version()));
                }
                ResourceUpdate incrementalUpdate = incremental.incrementalUpdate(current, false);
                if (incrementalUpdate != null) {
                    incrementalUpdate.removed().forEach(heldByIncremental::remove);
                    incrementalUpdate
                            .resources()
                            .forEach((subscribedName, resource) ->
                                    heldByIncremental.put(subscribedName, resource.version()));
                }
                Map<String, String> expected = new TreeMap<>();
                for (String subscribedName : names) {
                    if (current.containsKey(subscribedName)) {
                        expected.put(subscribedName, current.get(subscribedName).version());
                    }
                }
                assertEquals(expected, heldByIncremental);
                // State of the world can't report that endpoints were removed, so a client keeps them.
                Map<String, String> stillExpected = new TreeMap<>(heldByStateOfTheWorld);
                stillExpected.keySet().retainAll(expected.keySet());
                assertEquals(expected, stillExpected);
                assertNull(stateOfTheWorld.stateOfTheWorldUpdate(current, false), "the same update was sent twice");
                assertNull(incremental.incrementalUpdate(current, false), "the same update was sent twice");
            }
        }
    }
}
