package dev.lavenderline.core.overload;

/** Is told of each request that is refused and each connection that is closed to bound what a process holds. */
@FunctionalInterface
public interface RefusalListener {
    /**
     * Reports a refusal or close.
     *
     * @param listener name of the listener that accepted the connection
     * @param peer address of the peer
     * @param heldBytes memory held for the connection
     */
    void refused(String listener, RefusalReason reason, String peer, long heldBytes);
}
