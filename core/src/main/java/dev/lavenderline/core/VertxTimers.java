package dev.lavenderline.core;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Objects;

/**
 * Timers of a Vert.x event loop, with a resolution of one millisecond; delays are rounded up.
 *
 * <p>Must be called on the event loop; the tasks run on the caller's context.
 */
public final class VertxTimers implements Timers {
    private final Vertx vertx;

    public VertxTimers(Vertx vertx) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        long id = vertx.setTimer(millis(delay), timer -> task.run());
        return () -> vertx.cancelTimer(id);
    }

    @Override
    public Timer every(Duration period, Runnable task) {
        long id = vertx.setPeriodic(millis(period), timer -> task.run());
        return () -> vertx.cancelTimer(id);
    }

    private static long millis(Duration delay) {
        return Math.max(1, delay.plusNanos(999_999).toMillis());
    }
}
