package dev.lavenderline.serving.slots;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The slots that nodes hold, by node, upstream and item.
 *
 * <p>Invariants: an item has at most one lease; a preempted lease stays with its node until the node releases it, but
 * does not count as occupied. Not thread-safe; confined to the event loop.
 */
final class LeaseTable {
    /** Lower bound of a node's capacity, so that {@link NodeState#itemLoad} never divides by zero. */
    private static final double MIN_CAPACITY = 0.01;

    private final Map<String, NodeState> nodes = new HashMap<>();
    private final Map<String, Occupancy> occupancies = new HashMap<>();
    private final Map<ItemRef, Lease> byItem = new HashMap<>();

    /** A node that uses this scheduler. */
    static final class NodeState {
        final String name;
        final String failureDomain;
        private final double capacity;
        private final Map<Long, Lease> leases = new HashMap<>();
        private int items;

        private NodeState(String name, String failureDomain, double capacity) {
            this.name = name;
            this.failureDomain = failureDomain;
            this.capacity = Math.max(MIN_CAPACITY, capacity);
        }

        /** Returns the number of items leased to the node per unit of capacity. */
        double itemLoad() {
            return items / capacity;
        }
    }

    /**
     * A slot held by a node.
     *
     * @param startNanos time of the grant, or of the hello that reported the slot
     * @param dueNanos time at which the item's result is due; {@code Long.MAX_VALUE} if unknown or an online request
     * @param tokens tokens of the item, or those that an online request adds to the memory, 0 if they are not known
     * @param workspace workspace of the item, empty if there is none or it is not known, or for an online request
     * @param priority priority of the item, 0 if it is not known or for an online request
     * @param partialRun whether the hold time covers only part of a run: the run resumed partial output, or began
     *     before the node joined this scheduler
     */
    record Lease(
            NodeState node,
            long number,
            String upstream,
            Optional<ItemRef> item,
            long startNanos,
            long dueNanos,
            int tokens,
            String workspace,
            int priority,
            boolean partialRun) {
        @Override
        public boolean equals(Object other) {
            return this == other;
        }

        @Override
        public int hashCode() {
            return Long.hashCode(number);
        }
    }

    /** The leases that occupy slots of an upstream. */
    static final class Occupancy {
        private final Set<Lease> online = new HashSet<>();
        private final Set<Lease> items = new HashSet<>();

        int onlineCount() {
            return online.size();
        }

        Collection<Lease> onlineLeases() {
            return online;
        }

        Collection<Lease> itemLeases() {
            return items;
        }

        /** Returns the tokens of each online request. */
        List<Integer> onlineTokens() {
            return online.stream().map(Lease::tokens).toList();
        }

        /** Returns the tokens of each request and item. */
        List<Integer> tokens() {
            return Stream.concat(online.stream(), items.stream())
                    .map(Lease::tokens)
                    .toList();
        }

        int total() {
            return online.size() + items.size();
        }
    }

    NodeState addNode(String name, String failureDomain, double capacity) {
        NodeState node = new NodeState(name, failureDomain, capacity);
        nodes.put(name, node);
        return node;
    }

    /** Removes a node and its leases; returns whether the node was known. */
    boolean removeNode(String name) {
        NodeState node = nodes.remove(name);
        if (node == null) {
            return false;
        }
        List.copyOf(node.leases.values()).forEach(this::remove);
        return true;
    }

    /** Returns the slots that a node holds, without those of preempted items. */
    List<Holding> holdings(String name) {
        return node(name).map(state -> state.leases.values()).orElse(List.of()).stream()
                .filter(lease -> lease.item().isEmpty()
                        || occupancy(lease.upstream()).items.contains(lease))
                .map(lease -> new Holding(lease.number(), lease.upstream(), lease.item()))
                .toList();
    }

    Optional<NodeState> node(String name) {
        return Optional.ofNullable(nodes.get(name));
    }

    Collection<NodeState> nodes() {
        return nodes.values();
    }

    Optional<Lease> find(String node, long number) {
        return node(node).map(state -> state.leases.get(number));
    }

    /** Returns the leases that occupy slots of an upstream. */
    Occupancy occupancy(String upstream) {
        return occupancies.computeIfAbsent(upstream, id -> new Occupancy());
    }

    boolean hasLease(ItemRef item) {
        return byItem.containsKey(item);
    }

    /** Returns the leases of items that have not been preempted. */
    List<Lease> activeItemLeases() {
        return byItem.values().stream()
                .filter(lease -> occupancy(lease.upstream()).items.contains(lease))
                .toList();
    }

    void add(Lease lease) {
        Lease replaced = lease.node().leases.put(lease.number(), lease);
        if (replaced != null) {
            detach(replaced);
        }
        if (lease.item().isEmpty()) {
            occupancy(lease.upstream()).online.add(lease);
            return;
        }
        occupancy(lease.upstream()).items.add(lease);
        byItem.put(lease.item().get(), lease);
        lease.node().items++;
    }

    /** Frees the slot of a preempted item; its node keeps the lease until it releases it. */
    void freePreemptedSlot(Lease lease) {
        occupancy(lease.upstream()).items.remove(lease);
    }

    void remove(Lease lease) {
        lease.node().leases.remove(lease.number());
        detach(lease);
    }

    private void detach(Lease lease) {
        if (lease.item().isEmpty()) {
            occupancy(lease.upstream()).online.remove(lease);
        } else {
            occupancy(lease.upstream()).items.remove(lease);
            byItem.remove(lease.item().get(), lease);
            lease.node().items--;
        }
        if (occupancy(lease.upstream()).total() == 0) {
            occupancies.remove(lease.upstream());
        }
    }
}
