package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.proto.slots.NodeRecord;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node that finds no scheduler, since opening a connection to an odd address throws, or since the
 * registrations of nodes that are gone stay and come first.
 */
class NodeRegistryTest {
    private static final Partition PARTITION = new Partition("nodes", 0);

    private final ManualTime time = new ManualTime();
    private final FakeStore store = new FakeStore();
    private final Set<String> nodes = new TreeSet<>();

    private static KeyedRecord record(String key, String name, String host, int port) {
        return new KeyedRecord(
                key,
                NodeRecord.newBuilder()
                        .setName(name)
                        .setHost(host)
                        .setPort(port)
                        .build()
                        .toByteArray());
    }

    private NodeRegistry start(KeyedRecord... registered) {
        for (KeyedRecord record : registered) {
            store.log(PARTITION).add(record);
        }
        NodeRegistry registry = new NodeRegistry(
                store, new NodeEntry("self", "127.0.0.1", 7000, "a", 0, 1), time, time, EventLog.NONE, current -> {
                    nodes.clear();
                    current.forEach(node -> nodes.add(node.name()));
                });
        registry.start();
        return registry;
    }

    private void pass(NodeRegistry registry, Duration duration, Set<String> present) {
        for (Duration passed = Duration.ZERO; passed.compareTo(duration) < 0; passed = passed.plusSeconds(1)) {
            registry.removeAbsent(present);
            time.advance(Duration.ofSeconds(1));
        }
    }

    private static KeyedRecord node(String name) {
        return record(name, name, "127.0.0.1", 7001);
    }

    @Test
    void nodesWithoutUsableAddressAreIgnored() {
        start(
                record("a", "a", "127.0.0.1", 0),
                record("b", "b", "127.0.0.1", 70_000),
                record("c", "c", "127.0.0.1", -1),
                record("d", "d", "", 7001),
                record("e", "self", "127.0.0.1", 7001),
                node("good"));
        assertEquals(Set.of("good", "self"), nodes);
    }

    /** A killed node does not remove its registration, and a node that replaces it has another name. */
    @Test
    void registrationOfALostNodeIsRemoved() {
        NodeRegistry registry = start(node("lost"), node("present"));
        pass(registry, NodeRegistry.ABSENCE_PERIOD, Set.of("self", "present"));
        assertEquals(Set.of("lost", "present", "self"), nodes);
        pass(registry, Duration.ofSeconds(2), Set.of("self", "present"));
        assertEquals(Set.of("present", "self"), nodes);
    }

    @Test
    void removalIsRepeatedIfTheStoreDoesNotConfirmIt() {
        NodeRegistry registry = start(node("lost"));
        store.nextAppends(FakeStore.AppendOutcome.REJECTED);
        pass(registry, NodeRegistry.ABSENCE_PERIOD.plusSeconds(2), Set.of("self"));
        assertEquals(Set.of("lost", "self"), nodes);
        pass(registry, NodeRegistry.ABSENCE_PERIOD.plusSeconds(2), Set.of("self"));
        assertEquals(Set.of("self"), nodes);
    }

    @Test
    void nodeThatIsMissingForAWhileStaysRegistered() {
        NodeRegistry registry = start(node("restarted"));
        for (int i = 0; i < 5; i++) {
            pass(registry, NodeRegistry.ABSENCE_PERIOD.minusSeconds(5), Set.of("self"));
            pass(registry, Duration.ofSeconds(1), Set.of("self", "restarted"));
        }
        for (int i = 0; i < 5; i++) {
            pass(registry, NodeRegistry.ABSENCE_PERIOD.minusSeconds(5), Set.of("self"));
            registry.forgetAbsences();
        }
        assertEquals(Set.of("restarted", "self"), nodes);
    }

    /** A node that was removed, as it uses another scheduler or was suspended, registers again. */
    @Test
    void liveNodeThatIsRemovedRegistersAgain() {
        start();
        int before = store.appends("nodes");
        store.append(PARTITION, MetadataStore.ANY_END, List.of(new KeyedRecord("self", new byte[0])));
        time.advance(Duration.ofSeconds(6));
        assertEquals(before + 2, store.appends("nodes"));
        assertFalse(store.log(PARTITION).get(store.log(PARTITION).size() - 1).deletion());
    }

    /** The store is down while a node leaves. */
    @Test
    void ownRegistrationIsRemovedOnceTheStoreResponds() {
        NodeRegistry registry = start();
        store.nextAppends(FakeStore.AppendOutcome.REJECTED, FakeStore.AppendOutcome.REJECTED);
        registry.deregister();
        time.advance(Duration.ofSeconds(2));
        assertTrue(store.log(PARTITION).get(store.log(PARTITION).size() - 1).deletion());
    }
}
