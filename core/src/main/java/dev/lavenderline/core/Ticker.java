package dev.lavenderline.core;

import java.time.Instant;

/**
 * Source of time, passed in everywhere so that tests control it.
 *
 * <p>Implementations are thread-safe.
 */
public interface Ticker {
    /** Wall clock; used only for deadlines that are shared between processes. */
    Instant now();

    /** Monotonic time in nanoseconds with an arbitrary origin; used for leases, timeouts and ages. */
    long nanos();

    /** Returns the ticker of this process's system clocks. */
    static Ticker system() {
        return new Ticker() {
            @Override
            public Instant now() {
                return Instant.now();
            }

            @Override
            public long nanos() {
                return System.nanoTime();
            }
        };
    }
}
