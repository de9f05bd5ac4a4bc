package dev.lavenderline.bench.fleet;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions of other processes. Stateless. */
public final class Poll {
    private static final Duration PERIOD = Duration.ofMillis(50);

    private Poll() {}

    /**
     * Returns as soon as a condition holds.
     *
     * @throws IllegalStateException if it does not hold within the limit
     */
    public static void until(String what, Duration limit, BooleanSupplier condition) {
        long end = System.nanoTime() + limit.toNanos();
        CountDownLatch never = new CountDownLatch(1);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("not within " + limit.toMillis() + " ms: " + what);
            }
            try {
                never.await(PERIOD.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while waiting: " + what, e);
            }
        }
    }
}
