package dev.lavenderline.core;

import java.time.Duration;

/**
 * Runs tasks later on the node's event loop.
 *
 * <p>Implementations must be called on the event loop and run the tasks there.
 */
public interface Timers {
    /** Runs a task once after a delay. */
    Timer after(Duration delay, Runnable task);

    /** Runs a task again and again, first after one period. */
    Timer every(Duration period, Runnable task);

    /** A planned run. */
    interface Timer {
        /** Prevents further runs; idempotent. */
        void cancel();
    }
}
