package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What the scheduler knows of items beside their leases: which are finished but have no result yet, which wait after a
 * failure, and which node keeps the text of a cancelled run. All of it may be lost; items then run again.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ItemProgress {
    private final Ticker ticker;
    private final Map<ItemRef, Settling> settling = new HashMap<>();
    private final Map<ItemRef, Long> notBefore = new HashMap<>();
    private final Map<ItemRef, String> keepers = new HashMap<>();

    private record Settling(String node, long untilNanos) {}

    ItemProgress(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns whether an item may be started. */
    boolean startable(ItemRef item) {
        long now = ticker.nanos();
        Settling finished = settling.get(item);
        if (finished != null && now - finished.untilNanos() < 0) {
            return false;
        }
        Long earliest = notBefore.get(item);
        return earliest == null || now - earliest >= 0;
    }

    /** A run is complete; its node writes the result within the limit. */
    void finished(ItemRef item, String node, Duration limit) {
        settling.put(item, new Settling(node, ticker.nanos() + limit.toNanos()));
        keepers.remove(item);
    }

    /** A run ended without a result and may be repeated after a delay. */
    void stopped(ItemRef item, String node, int keptEvents, Duration delay) {
        notBefore.put(item, ticker.nanos() + delay.toNanos());
        if (keptEvents > 0) {
            keepers.put(item, node);
        } else {
            keepers.remove(item);
        }
    }

    /** Returns the node that keeps the text of an earlier run. */
    Optional<String> keeper(ItemRef item) {
        return Optional.ofNullable(keepers.get(item));
    }

    /** An item has a result; nothing more has to be known of it. */
    void settled(ItemRef item) {
        settling.remove(item);
        notBefore.remove(item);
        keepers.remove(item);
    }

    /** A node is gone with the texts that it kept and the results that it had not written. */
    void nodeLeft(String node) {
        settling.values().removeIf(some -> some.node().equals(node));
        keepers.values().removeIf(node::equals);
    }
}
