package dev.lavenderline.serving.slots;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which node holds which slots.
 *
 * <p>Invariants: an item has at most one lease; a preempted lease stays with its node until the node gives it back, but
 * does not count as occupied. Not thread-safe; confined to the event loop.
 */
final class LeaseTable {
    private static final double LEAST_CAPACITY = 0.01;

    private final Map<String, NodeState> nodes = new HashMap<>();
    private final Map<String, Occupancy> occupancies = new HashMap<>();
    private final Map<ItemRef, Lease> byItem = new HashMap<>();

    /** A node that uses the scheduler. */
    static final class NodeState {
        final String name;
        final String failureDomain;
        private final double capacity;
        private final Map<Long, Lease> leases = new HashMap<>();
        private int items;

        private NodeState(String name, String failureDomain, double capacity) {
            this.name = name;
            this.failureDomain = failureDomain;
            this.capacity = Math.max(LEAST_CAPACITY, capacity);
        }

        /** Returns the items that run there for each unit of capacity. */
        double itemLoad() {
            return items / capacity;
        }
    }

    /**
     * A slot that a node holds.
     *
     * @param startNanos time of the grant
     * @param dueNanos time at which the item's result is due
     * @param continued whether the run began with text of an earlier one, or is not known from its beginning
     */
    record Lease(
            NodeState node,
            long number,
            String upstream,
            Optional<ItemRef> item,
            long startNanos,
            long dueNanos,
            boolean continued) {
        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(number);
        }
    }

    /** What runs on an upstream. */
    static final class Occupancy {
        private final Set<Lease> online = new HashSet<>();
        private final Set<Lease> items = new HashSet<>();

        int online() {
            return online.size();
        }

        Collection<Lease> onlineLeases() {
            return online;
        }

        Collection<Lease> items() {
            return items;
        }

        int total() {
            return online.size() + items.size();
        }
    }

    NodeState join(String name, String failureDomain, double capacity) {
        NodeState node = new NodeState(name, failureDomain, capacity);
        nodes.put(name, node);
        return node;
    }

    /** Drops a node with all that it holds; returns whether it was known. */
    boolean leave(String name) {
        NodeState node = nodes.remove(name);
        if (node == null) {
            return false;
        }
        List.copyOf(node.leases.values()).forEach(this::drop);
        return true;
    }

    Optional<NodeState> node(String name) {
        return Optional.ofNullable(nodes.get(name));
    }

    Collection<NodeState> nodes() {
        return nodes.values();
    }

    Optional<Lease> find(String node, long number) {
        return node(node).map(known -> known.leases.get(number));
    }

    /** Returns what runs on an upstream. */
    Occupancy on(String upstream) {
        return occupancies.computeIfAbsent(upstream, id -> new Occupancy());
    }

    boolean runs(ItemRef item) {
        return byItem.containsKey(item);
    }

    /** Returns the leases of items that have not been preempted. */
    List<Lease> items() {
        return byItem.values().stream()
                .filter(lease -> on(lease.upstream()).items.contains(lease))
                .toList();
    }

    void add(Lease lease) {
        Lease before = lease.node().leases.put(lease.number(), lease);
        if (before != null) {
            detach(before);
        }
        if (lease.item().isEmpty()) {
            on(lease.upstream()).online.add(lease);
            return;
        }
        on(lease.upstream()).items.add(lease);
        byItem.put(lease.item().get(), lease);
        lease.node().items++;
    }

    /** Frees the slot of an item whose node has been told to cancel it. */
    void preempted(Lease lease) {
        on(lease.upstream()).items.remove(lease);
    }

    void drop(Lease lease) {
        lease.node().leases.remove(lease.number());
        detach(lease);
    }

    private void detach(Lease lease) {
        if (lease.item().isEmpty()) {
            on(lease.upstream()).online.remove(lease);
        } else {
            on(lease.upstream()).items.remove(lease);
            byItem.remove(lease.item().get(), lease);
            lease.node().items--;
        }
        if (on(lease.upstream()).total() == 0) {
            occupancies.remove(lease.upstream());
        }
    }
}
