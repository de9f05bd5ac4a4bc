package dev.lavenderline.core.overload;

/** A connection that a {@link ListenerGuard} bounds. Not thread-safe; confined to the event loop. */
abstract class GuardedConnection extends HoldingAccount.Holder {
    /** Returns the address of the peer. */
    abstract String peer();

    /** Closes the connection if its time is up. */
    abstract void enforceTimes(long nowNanos, ConnectionLimits limits);
}
