package dev.lavenderline.serving.online;

import java.time.Duration;

/**
 * Decides whether a node that is about to exit takes a request: only if it can still be answered by its own time limit.
 * Another node serves what is rejected, while a request that the exit cuts off may not be sent again.
 *
 * <p>Immutable and thread-safe.
 */
final class DrainAdmission {
    /** Time to write the response to a request that ends at its time limit. */
    static final Duration RESPONSE_MARGIN = Duration.ofMillis(100);

    private final long exitNanos;

    /**
     * Creates a decision.
     *
     * @param exitNanos when the process exits at the latest, by the ticker's clock
     */
    DrainAdmission(long exitNanos) {
        this.exitNanos = exitNanos;
    }

    /** Returns whether a request that may take until its limit is answered before the exit. */
    boolean admits(long nowNanos, Duration limit) {
        return exitNanos - nowNanos >= limit.plus(RESPONSE_MARGIN).toNanos();
    }
}
