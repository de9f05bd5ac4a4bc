package dev.lavenderline.core.overload;

import dev.lavenderline.core.overload.Holding.Stage;
import io.vertx.core.net.NetSocket;
import java.time.Duration;

/**
 * Charges the incomplete frame of a connection between nodes. A connection whose peer has not introduced itself has to
 * make room like that of a caller; one of a known node has not.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class FrameGuard extends GuardedConnection {
    private final ListenerGuard listener;
    private final NetSocket socket;
    private long bufferedBytes;
    private boolean known;
    private boolean closing;
    private long progressNanos;

    FrameGuard(ListenerGuard listener, NetSocket socket) {
        this.listener = listener;
        this.socket = socket;
        this.progressNanos = listener.account().nanos();
    }

    /** Notes that the peer has introduced itself. */
    public void introduced() {
        known = true;
    }

    /**
     * Charges bytes that are kept until their frame is complete; returns false if the connection is closed because
     * there is no room for them.
     */
    public boolean buffered(long bytes) {
        if (closing) {
            return false;
        }
        bufferedBytes = bytes;
        progressNanos = listener.account().nanos();
        if (!charge()) {
            giveUp(RefusalReason.MEMORY);
        }
        return !closing;
    }

    boolean charge() {
        return listener.account().raise(this, HeldMemory.CONNECTION_BYTES + HeldMemory.ofBody(bufferedBytes));
    }

    /** Ends the charge; call it once the connection is closed. */
    public void closed() {
        closing = true;
        listener.account().remove(this);
        listener.closed(this);
    }

    @Override
    Holding holding(long nowNanos) {
        Stage stage = closing ? Stage.CLOSING : known ? Stage.SERVING : Stage.RECEIVING;
        return new Holding(charged(), stage, Duration.ofNanos(Math.max(0, nowNanos - progressNanos)));
    }

    @Override
    void giveUp(RefusalReason reason) {
        if (!closing) {
            listener.report(reason, this);
            closing = true;
            bufferedBytes = 0;
            socket.close();
        }
    }

    @Override
    String peer() {
        return String.valueOf(socket.remoteAddress());
    }

    @Override
    void enforceTimes(long nowNanos, ConnectionLimits limits) {
        if (!known && nowNanos - progressNanos > limits.idleTimeout().toNanos()) {
            giveUp(RefusalReason.IDLE);
        }
    }
}
