package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Slots and items of nodes that have moved to another scheduler. They go on with what they run, so that their slots are
 * free to this scheduler only in appearance.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class MovedSlots {
    /** Time in which all nodes move to a new scheduler; after it, this one has no nodes to place items on. */
    static final Duration HOLD_PERIOD = Duration.ofSeconds(2);

    private final Ticker ticker;
    private final Map<String, Moved> nodes = new HashMap<>();
    private final Map<String, Integer> countsByUpstream = new HashMap<>();
    private final Set<ItemRef> items = new HashSet<>();

    private record Moved(List<Holding> holdings, long untilNanos) {}

    MovedSlots(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Records the slots of a node that has moved. */
    void nodeMoved(String node, List<Holding> holdings) {
        nodeJoined(node);
        nodes.put(node, new Moved(holdings, ticker.nanos() + HOLD_PERIOD.toNanos()));
        for (Holding holding : holdings) {
            countsByUpstream.merge(holding.upstream(), 1, Integer::sum);
            holding.item().ifPresent(items::add);
        }
    }

    /** Forgets the slots of a node that has joined again; it reports what it holds. */
    void nodeJoined(String node) {
        Moved moved = nodes.remove(node);
        if (moved == null) {
            return;
        }
        for (Holding holding : moved.holdings()) {
            countsByUpstream.computeIfPresent(holding.upstream(), (id, count) -> count == 1 ? null : count - 1);
            holding.item().ifPresent(items::remove);
        }
    }

    /** Forgets the slots of nodes that moved too long ago. */
    void expire() {
        long now = ticker.nanos();
        List<String> expired = nodes.entrySet().stream()
                .filter(entry -> now - entry.getValue().untilNanos() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::nodeJoined);
    }

    /** Returns the number of slots of an upstream that nodes which have moved hold. */
    int count(String upstream) {
        return countsByUpstream.getOrDefault(upstream, 0);
    }

    /** Returns whether a node that has moved runs the item. */
    boolean holds(ItemRef item) {
        return items.contains(item);
    }
}
