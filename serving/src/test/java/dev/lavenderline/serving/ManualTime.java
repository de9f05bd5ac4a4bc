package dev.lavenderline.serving;

import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Clocks and timers that a test advances manually. Not thread-safe. */
public final class ManualTime implements Ticker, Timers {
    private static final Instant START = Instant.parse("2026-12-03T00:00:00Z");

    private final List<Task> tasks = new ArrayList<>();
    private long nanos;
    private Duration wallOffset = Duration.ZERO;
    private long nextNumber;

    private static final class Task {
        final Runnable action;
        final long periodNanos;
        final long number;
        long atNanos;
        boolean cancelled;

        Task(Runnable action, long atNanos, long periodNanos, long number) {
            this.action = action;
            this.atNanos = atNanos;
            this.periodNanos = periodNanos;
            this.number = number;
        }
    }

    @Override
    public Instant now() {
        return START.plusNanos(nanos).plus(wallOffset);
    }

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        return schedule(task, delay.toNanos(), 0);
    }

    @Override
    public Timer every(Duration period, Runnable task) {
        return schedule(task, period.toNanos(), period.toNanos());
    }

    private Timer schedule(Runnable action, long delayNanos, long periodNanos) {
        Task task = new Task(action, nanos + delayNanos, periodNanos, nextNumber++);
        tasks.add(task);
        return () -> task.cancelled = true;
    }

    /**
     * Moves the wall clock alone: forward as when a host resumes, whose monotonic clock stood still, or back as when
     * the clock is corrected.
     */
    public void moveWall(Duration by) {
        wallOffset = wallOffset.plus(by);
    }

    /** Advances both clocks and runs due tasks in order of their time, then of their creation. */
    public void advance(Duration by) {
        long end = nanos + by.toNanos();
        while (true) {
            tasks.removeIf(task -> task.cancelled);
            Task next = tasks.stream()
                    .filter(task -> task.atNanos <= end)
                    .min(Comparator.comparingLong((Task task) -> task.atNanos).thenComparingLong(task -> task.number))
                    .orElse(null);
            if (next == null) {
                break;
            }
            nanos = Math.max(nanos, next.atNanos);
            if (next.periodNanos > 0) {
                next.atNanos += next.periodNanos;
            } else {
                next.cancelled = true;
            }
            next.action.run();
        }
        nanos = end;
    }
}
