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
 * Bounded queue with weighted fair sharing between workspaces (start-time fair queueing). Within a workspace,
 * short items go before long ones, but a waiting long item is next after {@value #MAX_CONSECUTIVE_SHORTS} short ones.
 *
 * @param <T> type of the items
 */
final class FairQueue<T> {
    private static final int MAX_CONSECUTIVE_SHORTS = 8;

    private final int bound;
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private final TreeSet<Flow<T>> backlogged = new TreeSet<>(
            Comparator.<Flow<T>>comparingDouble(flow -> flow.startTag).thenComparing(flow -> flow.name));
    private double virtualTime;
    private int size;

    FairQueue(int bound) {
        checkArgument(bound >= 1, "bound is below 1: %s", bound);
        this.bound = bound;
    }

    /**
     * Adds an item.
     *
     * @param cost service time of the item in any unit, greater than 0
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
            flow.startTag = Math.max(virtualTime, flow.startTag);
            backlogged.add(flow);
        }
        (isLong ? flow.longItems : flow.shortItems).add(new QueuedItem<>(item, cost / weight));
        size++;
        return true;
    }

    /** Removes the next item, null if there is none; long items are skipped if they are not allowed. */
    T poll(boolean allowLong) {
        for (Flow<T> flow : backlogged) {
            ArrayDeque<QueuedItem<T>> items = flow.nextItems(allowLong);
            if (items == null) {
                continue;
            }
            backlogged.remove(flow);
            QueuedItem<T> queued = items.poll();
            flow.consecutiveShorts = items == flow.longItems ? 0 : flow.consecutiveShorts + 1;
            virtualTime = Math.max(virtualTime, flow.startTag);
            flow.startTag += queued.normalizedCost;
            size--;
            retainIfBacklogged(flow);
            return queued.item;
        }
        return null;
    }

    /** Returns the item that {@link #poll} would remove, null if there is none. */
    T peek(boolean allowLong) {
        for (Flow<T> flow : backlogged) {
            ArrayDeque<QueuedItem<T>> items = flow.nextItems(allowLong);
            if (items != null) {
                return items.peek().item;
            }
        }
        return null;
    }

    /** Removes all matching items, then passes each to {@code removed}, in no particular order. */
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
        backlogged.removeIf(Flow::isEmpty);
        flows.values().removeIf(flow -> flow.isEmpty() && flow.startTag <= virtualTime);
        matches.forEach(removed);
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    private void retainIfBacklogged(Flow<T> flow) {
        if (!flow.isEmpty()) {
            backlogged.add(flow);
            return;
        }
        // An idle flow's finish tag only matters while it exceeds the virtual time; an empty queue resets both.
        if (backlogged.isEmpty()) {
            flows.clear();
            virtualTime = 0;
        }
    }

    private void removeIf(ArrayDeque<QueuedItem<T>> items, Predicate<T> condition, ArrayDeque<T> matches) {
        for (Iterator<QueuedItem<T>> iterator = items.iterator(); iterator.hasNext(); ) {
            QueuedItem<T> queued = iterator.next();
            if (condition.test(queued.item)) {
                iterator.remove();
                matches.add(queued.item);
            }
        }
    }

    private record QueuedItem<T>(T item, double normalizedCost) {}

    private static final class Flow<T> {
        private final String name;
        private final ArrayDeque<QueuedItem<T>> shortItems = new ArrayDeque<>();
        private final ArrayDeque<QueuedItem<T>> longItems = new ArrayDeque<>();
        private double startTag;
        private int consecutiveShorts;

        Flow(String name) {
            this.name = name;
        }

        boolean isEmpty() {
            return shortItems.isEmpty() && longItems.isEmpty();
        }

        ArrayDeque<QueuedItem<T>> nextItems(boolean allowLong) {
            boolean longFirst = shortItems.isEmpty() || consecutiveShorts >= MAX_CONSECUTIVE_SHORTS;
            if (allowLong && longFirst && !longItems.isEmpty()) {
                return longItems;
            }
            return shortItems.isEmpty() ? null : shortItems;
        }
    }
}
