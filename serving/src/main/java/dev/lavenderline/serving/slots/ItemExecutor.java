package dev.lavenderline.serving.slots;

/** Runs batch items on this node. Called on the event loop. */
public interface ItemExecutor {
    /** Runs an item; the implementation releases the lease when the run ends. */
    void run(long lease, String upstream, ItemRef item);

    /** Cancels a run and releases its lease; does nothing if the run has ended. */
    void preempt(long lease);
}
