package dev.lavenderline.serving.slots;

/** Why a node releases a slot. */
public enum ReleaseReason {
    /** The response was complete. */
    COMPLETED,
    /** The caller disconnected or the item was preempted. */
    CANCELLED,
    /** The connection failed or the upstream stopped responding. */
    UPSTREAM_UNREACHABLE,
    /** The response was truncated, lost or malformed. */
    ANSWER_LOST,
    /** The upstream had no free slot and did not run the request. */
    UPSTREAM_FULL,
    /** The upstream is shutting down, or its address belongs to another upstream now. */
    UPSTREAM_GONE,
    /** The upstream answered an online request with an error status. */
    UPSTREAM_FAILED,
    /** The upstream ran an item and reported an error, which the item may have caused. */
    ITEM_FAILED,
    /** The node does not know the job yet. */
    ITEM_UNKNOWN,
    /** The node could not read the content of the item from the store. */
    CONTENT_UNREADABLE,
    /** The node is shutting down. */
    NODE_DECLINED
}
