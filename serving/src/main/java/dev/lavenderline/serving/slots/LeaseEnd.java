package dev.lavenderline.serving.slots;

/** Why a node gives a slot back. */
public enum LeaseEnd {
    /** The answer was complete. */
    COMPLETED,
    /** The caller left or the item was preempted. */
    CANCELLED,
    /** No connection, or silence. */
    UPSTREAM_UNREACHABLE,
    /** A cut, lost or malformed answer. */
    ANSWER_LOST,
    /** The upstream had no room and did not run the request. */
    UPSTREAM_FULL,
    /** Another upstream has the address. */
    UPSTREAM_GONE,
    /** The upstream answered an online request with a failure. */
    UPSTREAM_FAILED,
    /** The upstream ran an item and reported a failure, which may be the item's fault. */
    ITEM_FAILED,
    /** The node does not know the job yet. */
    ITEM_UNKNOWN,
    /** The node is leaving. */
    NODE_DECLINED
}
