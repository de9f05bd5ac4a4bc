package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * State of batch items that is not part of a lease: completed runs whose results are not recorded yet, retry delays,
 * and the nodes that keep the partial output of interrupted runs. All of it may be lost; items then run again.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ItemProgress {
    private final Ticker ticker;
    private final Map<ItemRef, AwaitedResult> awaitingResult = new HashMap<>();
    private final Map<ItemRef, Long> earliestStarts = new HashMap<>();
    private final Map<ItemRef, PartialOutput> partialOutputs = new HashMap<>();

    /** By item, the node of its last run that failed. */
    private final Map<ItemRef, String> failedNodes = new HashMap<>();

    /** Items whose last run ended because its upstream was unreachable. */
    private final Set<ItemRef> unreached = new HashSet<>();

    /** Items whose content some node could not read; the node that accepted their job may have it in memory. */
    private final Set<ItemRef> unreadable = new HashSet<>();

    private record AwaitedResult(String node, long deadlineNanos) {}

    /**
     * Partial output of an interrupted run.
     *
     * @param node node that keeps it
     * @param version software version that generated it, on which alone a run can resume; empty if it is not known
     * @param ranFor time for which the interrupted runs held slots
     */
    record PartialOutput(String node, Optional<String> version, Duration ranFor) {}

    ItemProgress(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns whether an item may start: it awaits neither its result nor the end of a retry delay. */
    boolean startable(ItemRef item) {
        long now = ticker.nanos();
        AwaitedResult awaited = awaitingResult.get(item);
        if (awaited != null && now - awaited.deadlineNanos() < 0) {
            return false;
        }
        Long earliest = earliestStarts.get(item);
        return earliest == null || now - earliest >= 0;
    }

    /** Records a completed run; the item may run again if its node records no result within the timeout. */
    void runCompleted(ItemRef item, String node, Duration timeout) {
        awaitingResult.put(item, new AwaitedResult(node, ticker.nanos() + timeout.toNanos()));
        partialOutputs.remove(item);
    }

    /** Records whether a run ended because its upstream was unreachable. */
    void runUnreached(ItemRef item, boolean unreachable) {
        if (unreachable) {
            unreached.add(item);
        } else {
            unreached.remove(item);
        }
    }

    /** Returns whether the last run of the item ended because its upstream was unreachable. */
    boolean unreached(ItemRef item) {
        return unreached.contains(item);
    }

    /** Records a run that ended without a result; the item may run again after the delay. */
    void runInterrupted(ItemRef item, Optional<PartialOutput> kept, Duration delay) {
        earliestStarts.put(item, ticker.nanos() + delay.toNanos());
        kept.ifPresentOrElse(output -> partialOutputs.put(item, output), () -> partialOutputs.remove(item));
    }

    /** Records that a run of an item failed on a node. */
    void runFailed(ItemRef item, String node) {
        failedNodes.put(item, node);
    }

    /** Records that a node did not run an item, so that any node may run it again. */
    void declined(ItemRef item) {
        failedNodes.remove(item);
    }

    /** Returns the node of the last run that failed, which counts the failures even if it can't record them. */
    Optional<String> failedNode(ItemRef item) {
        return Optional.ofNullable(failedNodes.get(item));
    }

    /** Records that a node could not read the content of an item. */
    void contentUnreadable(ItemRef item) {
        unreadable.add(item);
    }

    /** Returns whether some node could not read the content of the item. */
    boolean unreadable(ItemRef item) {
        return unreadable.contains(item);
    }

    /** Returns the partial output of the item, from which a run can resume. */
    Optional<PartialOutput> partialOutput(ItemRef item) {
        return Optional.ofNullable(partialOutputs.get(item));
    }

    /** Forgets an item because its result is recorded. */
    void resultRecorded(ItemRef item) {
        awaitingResult.remove(item);
        unreadable.remove(item);
        unreached.remove(item);
        failedNodes.remove(item);
        earliestStarts.remove(item);
        partialOutputs.remove(item);
    }

    /** Forgets a node's partial outputs and the results that it has not recorded. */
    void nodeLeft(String node) {
        awaitingResult.values().removeIf(entry -> entry.node().equals(node));
        failedNodes.values().removeIf(node::equals);
        partialOutputs.values().removeIf(output -> output.node().equals(node));
    }
}
