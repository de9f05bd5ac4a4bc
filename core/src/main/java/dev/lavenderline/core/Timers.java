package dev.lavenderline.core;

import java.time.Duration;

/**
 * Schedules tasks on the node's event loop.
 *
 * <p>Not thread-safe: call it only on the event loop, where the tasks run too.
 */
public interface Timers {
    /** Runs a task once after a delay. */
    Timer after(Duration delay, Runnable task);

    /** Runs a task periodically, first after one period. */
    Timer every(Duration period, Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels all further runs; idempotent. */
        void cancel();
    }
}
