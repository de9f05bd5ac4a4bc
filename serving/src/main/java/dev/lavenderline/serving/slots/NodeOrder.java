package dev.lavenderline.serving.slots;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Registered nodes in the order in which their schedulers are preferred, the same at all nodes: by capacity, then by
 * uptime, so that a restarted node does not take over from a running one of the same capacity. Immutable.
 */
final class NodeOrder {
    private final List<NodeEntry> nodes;
    private final Map<String, Integer> ranks = new HashMap<>();

    NodeOrder(Collection<NodeEntry> registered) {
        nodes = registered.stream()
                .sorted(Comparator.comparingDouble(NodeEntry::capacity)
                        .reversed()
                        .thenComparingLong(NodeEntry::startedMillis)
                        .thenComparing(node -> hash(node.name()))
                        .thenComparing(NodeEntry::name))
                .toList();
        for (int i = 0; i < nodes.size(); i++) {
            ranks.put(nodes.get(i).name(), i);
        }
    }

    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the nodes, the preferred one first. */
    List<NodeEntry> nodes() {
        return nodes;
    }

    Set<String> names() {
        return ranks.keySet();
    }

    Optional<NodeEntry> find(String node) {
        return Optional.ofNullable(ranks.get(node)).map(nodes::get);
    }

    boolean contains(String node) {
        return ranks.containsKey(node);
    }

    /** Returns whether a node comes before another one; a node that is not registered comes last. */
    boolean before(String node, String other) {
        return rank(node) < rank(other);
    }

    private int rank(String node) {
        return ranks.getOrDefault(node, Integer.MAX_VALUE);
    }
}
