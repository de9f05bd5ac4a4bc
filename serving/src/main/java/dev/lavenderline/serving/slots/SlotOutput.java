package dev.lavenderline.serving.slots;

import java.time.Duration;

/** Receives the scheduler's decisions. Called on the event loop; must not call the scheduler back. */
public interface SlotOutput {
    /** A request gets a slot. */
    void granted(String node, long lease, String upstream);

    /** A request gets no slot; the caller is told when to come back. */
    void rejected(String node, long lease, Duration retryAfter);

    /** A node runs an item. */
    void run(String node, long lease, String upstream, ItemRef item);

    /** A node cancels an item and keeps its text. */
    void preempt(String node, long lease);
}
