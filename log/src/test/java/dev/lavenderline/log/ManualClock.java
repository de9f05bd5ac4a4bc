package dev.lavenderline.log;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** Clock that a test advances explicitly; timers run in the order of their due times. */
final class ManualClock implements Ticker, Timers {
    private static final Instant EPOCH = Instant.parse("2026-01-01T00:00:00Z");

    private record Task(long dueNanos, long number, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::number));
    private long nanos;
    private long lastNumber;

    @Override
    public Instant now() {
        return EPOCH.plusNanos(nanos);
    }

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public Timer after(Duration delay, Runnable action) {
        Task task = new Task(nanos + delay.toNanos(), ++lastNumber, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    @Override
    public Timer every(Duration period, Runnable action) {
        Timer[] next = new Timer[1];
        Runnable[] repeat = new Runnable[1];
        repeat[0] = () -> {
            next[0] = after(period, repeat[0]);
            action.run();
        };
        next[0] = after(period, repeat[0]);
        return () -> next[0].cancel();
    }

    /** Advances the time and runs the timers that become due. */
    void advance(Duration duration) {
        long end = nanos + duration.toNanos();
        while (!tasks.isEmpty() && tasks.peek().dueNanos() <= end) {
            Task task = tasks.remove();
            nanos = Math.max(nanos, task.dueNanos());
            task.action().run();
        }
        nanos = end;
    }

    /** Advances the time until a condition holds; fails after a limit. */
    void advanceUntil(BooleanSupplier condition, Duration limit) {
        long end = nanos + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (nanos >= end) {
                throw new AssertionError("condition does not hold after " + limit);
            }
            advance(Duration.ofMillis(1));
        }
    }

    /** Advances the time without running timers, as during a pause of the process. */
    void pause(Duration duration) {
        nanos += duration.toNanos();
    }
}
