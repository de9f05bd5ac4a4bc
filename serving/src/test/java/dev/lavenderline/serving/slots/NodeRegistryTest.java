package dev.lavenderline.serving.slots;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.lavenderline.proto.slots.NodeRecord;
import dev.lavenderline.serving.ManualTime;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.store.FakeStore;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.Partition;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Guards against a node that finds no scheduler, since opening a connection to an odd address throws. */
class NodeRegistryTest {
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

    @Test
    void nodesWithoutUsableAddressAreIgnored() {
        NodeRegistry registry = new NodeRegistry(
                store, new NodeEntry("self", "127.0.0.1", 7000, "a", 0, 1), time, time, EventLog.NONE, registered -> {
                    nodes.clear();
                    registered.forEach(node -> nodes.add(node.name()));
                });
        Partition partition = new Partition("nodes", 0);
        store.log(partition).add(record("a", "a", "127.0.0.1", 0));
        store.log(partition).add(record("b", "b", "127.0.0.1", 70_000));
        store.log(partition).add(record("c", "c", "127.0.0.1", -1));
        store.log(partition).add(record("d", "d", "", 7001));
        store.log(partition).add(record("e", "self", "127.0.0.1", 7001));
        store.log(partition).add(record("good", "good", "127.0.0.1", 7001));
        registry.start();
        assertEquals(Set.of("good", "self"), nodes);
    }
}
