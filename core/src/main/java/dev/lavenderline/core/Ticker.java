package dev.lavenderline.core;

import java.time.Instant;

/**
 * Source of the current time, passed in so that tests can control it.
 *
 * <p>Implementations are thread-safe.
 */
public interface Ticker {
    /** Returns the wall-clock time; used only for deadlines that are shared between processes. */
    Instant now();

    /** Returns the monotonic time in nanoseconds, with an arbitrary origin; used for leases, timeouts and ages. */
    long nanos();

    /** Returns a ticker that reads the system clocks. */
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
