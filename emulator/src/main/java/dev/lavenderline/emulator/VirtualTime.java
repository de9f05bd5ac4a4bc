package dev.lavenderline.emulator;

import dev.lavenderline.core.Ticker;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * Virtual clock that runs actions in order of their time, then of their creation.
 *
 * <p>Invariant: time never goes back. Not thread-safe.
 */
final class VirtualTime implements Ticker {
    private static final Instant START = Instant.EPOCH;

    private final PriorityQueue<Action> actions = new PriorityQueue<>();
    private long nanos;
    private long nextNumber;

    private record Action(long atNanos, long number, Runnable task) implements Comparable<Action> {
        @Override
        public int compareTo(Action other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    @Override
    public Instant now() {
        return START.plusNanos(nanos);
    }

    @Override
    public long nanos() {
        return nanos;
    }

    double millis() {
        return nanos / 1e6;
    }

    /** Runs a task after a delay in milliseconds; a negative delay counts as none. */
    void after(double delayMillis, Runnable task) {
        long atNanos = nanos + Math.max(0, (long) (delayMillis * 1e6));
        actions.add(new Action(atNanos, nextNumber++, task));
    }

    /** Runs all actions up to a time, and sets the clock to it. */
    void runUntil(double endMillis) {
        long endNanos = (long) (endMillis * 1e6);
        while (!actions.isEmpty() && actions.peek().atNanos() <= endNanos) {
            Action next = actions.poll();
            nanos = next.atNanos();
            next.task().run();
        }
        nanos = endNanos;
    }
}
