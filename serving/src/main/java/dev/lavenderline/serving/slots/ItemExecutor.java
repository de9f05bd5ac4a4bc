package dev.lavenderline.serving.slots;

/** Runs items on this node. Called on the event loop. */
public interface ItemExecutor {
    /** Runs an item; the lease has to be released afterwards. */
    void run(long lease, String upstream, ItemRef item);

    /** Cancels a run and releases its lease; does nothing if it has ended. */
    void preempt(long lease);
}
