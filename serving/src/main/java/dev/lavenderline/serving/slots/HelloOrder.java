package dev.lavenderline.serving.slots;

import java.time.Duration;

/**
 * Orders the hellos of a node. Connections may deliver them in another order: after a cut, the hello of a connection
 * that the node has given up can arrive behind that of its successor.
 *
 * <p>A node pings on a connection before its hello, and no longer on one that it has given up, so the times of its last
 * pings order its connections. They are times of the node's monotonic clock, which start anew with its host. Stateless
 * and thread-safe.
 */
final class HelloOrder {
    /** Longest time by which a hello counts as late; a larger difference comes from another clock. */
    static final Duration MAX_DELAY = Duration.ofMinutes(5);

    private HelloOrder() {}

    /**
     * Returns whether a hello was sent before that of the node's current connection.
     *
     * @param pingNanos time of the last ping before the hello
     * @param currentPingNanos time of the last ping on the current connection
     */
    static boolean late(long pingNanos, long currentPingNanos) {
        long behind = currentPingNanos - pingNanos;
        return behind > 0 && behind < MAX_DELAY.toNanos();
    }
}
