package dev.lavenderline.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Bounded queue with weighted fair sharing between workspaces (start-time fair queueing). Within a workspace short
 * items go before long ones, but a long item is next after {@value #SHORT_BEFORE_LONG} short ones.
 *
 * @param <T> type of the items
 */
final class FairQueue<T> {
    private static final int SHORT_BEFORE_LONG = 8;

    private final int bound;
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private final TreeSet<Flow<T>> waiting = new TreeSet<>(
            Comparator.<Flow<T>>comparingDouble(flow -> flow.start).thenComparing(flow -> flow.name));
    private double virtualTime;
    private int size;

    FairQueue(int bound) {
        checkArgument(bound >= 1, "bound is below 1: %s", bound);
        this.bound = bound;
    }

    /**
     * Adds an item.
     *
     * @param cost service that the item needs, in any unit, greater than 0
     * @return false if the queue is full
     */
    boolean offer(String workspace, int weight, double cost, boolean isLong, T item) {
        checkArgument(cost > 0, "cost is not positive: %s", cost);
        checkArgument(weight >= 1, "weight is below 1: %s", weight);
        if (size >= bound) {
            return false;
        }
        Flow<T> flow = flows.computeIfAbsent(workspace, Flow::new);
        if (flow.isEmpty()) {
            flow.start = Math.max(virtualTime, flow.start);
            waiting.add(flow);
        }
        (isLong ? flow.longItems : flow.shortItems).add(new Node<>(item, cost / weight));
        size++;
        return true;
    }

    /** Removes the next item, null if there is none; long items are skipped if they are not allowed. */
    T poll(boolean allowLong) {
        for (Flow<T> flow : waiting) {
            ArrayDeque<Node<T>> items = flow.next(allowLong);
            if (items == null) {
                continue;
            }
            waiting.remove(flow);
            Node<T> node = items.poll();
            flow.shortsInRow = items == flow.longItems ? 0 : flow.shortsInRow + 1;
            virtualTime = Math.max(virtualTime, flow.start);
            flow.start += node.cost;
            size--;
            keep(flow);
            return node.item;
        }
        return null;
    }

    /** Returns the item that {@link #poll} would remove, null if there is none. */
    T peek(boolean allowLong) {
        for (Flow<T> flow : waiting) {
            ArrayDeque<Node<T>> items = flow.next(allowLong);
            if (items != null) {
                return items.peek().item;
            }
        }
        return null;
    }

    /** Removes the items that match, in no particular order, and passes them on after all were removed. */
    void removeIf(Predicate<T> condition, Consumer<T> removed) {
        ArrayDeque<T> matches = new ArrayDeque<>();
        for (Flow<T> flow : flows.values()) {
            removeIf(flow.shortItems, condition, matches);
            removeIf(flow.longItems, condition, matches);
        }
        if (matches.isEmpty()) {
            return;
        }
        size -= matches.size();
        waiting.removeIf(Flow::isEmpty);
        flows.values().removeIf(flow -> flow.isEmpty() && flow.start <= virtualTime);
        matches.forEach(removed);
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    private void keep(Flow<T> flow) {
        if (!flow.isEmpty()) {
            waiting.add(flow);
            return;
        }
        // The finish tag of an idle flow only matters while it lies ahead of the virtual time.
        if (waiting.isEmpty()) {
            flows.clear();
            virtualTime = 0;
        }
    }

    private void removeIf(ArrayDeque<Node<T>> items, Predicate<T> condition, ArrayDeque<T> matches) {
        for (Iterator<Node<T>> nodes = items.iterator(); nodes.hasNext(); ) {
            Node<T> node = nodes.next();
            if (condition.test(node.item)) {
                nodes.remove();
                matches.add(node.item);
            }
        }
    }

    private record Node<T>(T item, double cost) {}

    private static final class Flow<T> {
        private final String name;
        private final ArrayDeque<Node<T>> shortItems = new ArrayDeque<>();
        private final ArrayDeque<Node<T>> longItems = new ArrayDeque<>();
        private double start;
        private int shortsInRow;

        Flow(String name) {
            this.name = name;
        }

        boolean isEmpty() {
            return shortItems.isEmpty() && longItems.isEmpty();
        }

        ArrayDeque<Node<T>> next(boolean allowLong) {
            boolean longFirst = shortItems.isEmpty() || shortsInRow >= SHORT_BEFORE_LONG;
            if (allowLong && longFirst && !longItems.isEmpty()) {
                return longItems;
            }
            return shortItems.isEmpty() ? null : shortItems;
        }
    }
}
