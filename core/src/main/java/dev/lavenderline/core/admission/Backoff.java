package dev.lavenderline.core.admission;

import org.apache.commons.rng.UniformRandomProvider;

/** Exponential backoff with jitter: half of each delay is fixed, the other half is random. */
final class Backoff {
    private final long baseNanos;
    private final long maxNanos;
    private final UniformRandomProvider random;

    Backoff(long baseNanos, long maxNanos, UniformRandomProvider random) {
        this.baseNanos = baseNanos;
        this.maxNanos = maxNanos;
        this.random = random;
    }

    /** Returns the delay in nanoseconds after the given number of failures, from 1. */
    long delayNanos(int failures) {
        int doublings = Math.min(Math.max(0, failures - 1), 30);
        long delay = Math.min(maxNanos, baseNanos << doublings);
        return delay / 2 + random.nextLong(delay / 2 + 1);
    }
}
