package dev.lavenderline.serving.slots;

import java.time.Duration;

/** Receives the scheduler's decisions. Called on the event loop; must not call the scheduler synchronously. */
public interface SlotDecisionListener {
    /** Grants a slot to an online request. */
    void granted(String node, long lease, String upstream);

    /** Rejects an online request; its caller may retry after the delay. */
    void rejected(String node, long lease, Duration retryAfter);

    /** Rejects an online request whose workspace has used up its quota, which has room after the delay. */
    default void overQuota(String node, long lease, Duration retryAfter) {
        rejected(node, lease, retryAfter);
    }

    /** Starts an item on a node. */
    void run(String node, long lease, String upstream, ItemRef item);

    /** Cancels the run of an item on a node, which keeps the partial output. */
    void preempt(String node, long lease);
}
