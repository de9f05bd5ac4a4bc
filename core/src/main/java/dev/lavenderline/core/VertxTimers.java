package dev.lavenderline.core;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Objects;

/**
 * Timers on a Vert.x event loop, with a resolution of one millisecond; delays are rounded up.
 *
 * <p>Not thread-safe: call it only on the event loop; the tasks run on the caller's Vert.x context.
 */
public final class VertxTimers implements Timers {
    private final Vertx vertx;

    public VertxTimers(Vertx vertx) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        long id = vertx.setTimer(roundUpToMillis(delay), timer -> task.run());
        return () -> vertx.cancelTimer(id);
    }

    @Override
    public Timer every(Duration period, Runnable task) {
        long id = vertx.setPeriodic(roundUpToMillis(period), timer -> task.run());
        return () -> vertx.cancelTimer(id);
    }

    private static long roundUpToMillis(Duration delay) {
        return Math.max(1, delay.plusNanos(999_999).toMillis());
    }
}
