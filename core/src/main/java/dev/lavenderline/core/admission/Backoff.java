package dev.lavenderline.core.admission;

import org.apache.commons.rng.UniformRandomProvider;

/** Exponential backoff with jitter: half of the wait is fixed, the other half is random. */
final class Backoff {
    private final long firstNanos;
    private final long longestNanos;
    private final UniformRandomProvider random;

    Backoff(long firstNanos, long longestNanos, UniformRandomProvider random) {
        this.firstNanos = firstNanos;
        this.longestNanos = longestNanos;
        this.random = random;
    }

    /** Returns the wait after a number of failures, from 1, in nanoseconds. */
    long waitNanos(int failures) {
        int doublings = Math.min(Math.max(0, failures - 1), 30);
        long wait = Math.min(longestNanos, firstNanos << doublings);
        return wait / 2 + random.nextLong(wait / 2 + 1);
    }
}
