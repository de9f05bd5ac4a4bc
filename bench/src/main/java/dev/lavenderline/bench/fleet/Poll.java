package dev.lavenderline.bench.fleet;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Polls until a condition of another process holds. Stateless. */
public final class Poll {
    private static final Duration INTERVAL = Duration.ofMillis(50);

    private Poll() {}

    /**
     * Blocks until a condition holds.
     *
     * @param description the condition, for error messages
     * @throws IllegalStateException if it does not hold within the timeout
     */
    public static void until(String description, Duration timeout, BooleanSupplier condition) {
        long end = System.nanoTime() + timeout.toNanos();
        CountDownLatch never = new CountDownLatch(1);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(
                        "timed out after " + timeout.toMillis() + " ms, waiting for: " + description);
            }
            try {
                never.await(INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while waiting for: " + description, e);
            }
        }
    }
}
