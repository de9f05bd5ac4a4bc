package dev.lavenderline.core.simulation;

import dev.lavenderline.core.Ticker;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Event queue of a discrete-event simulation, and its virtual clock. */
final class EventQueue implements Ticker {
    private static final long START_NANOS = 1_000_000_000_000L;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));
    private long nanos = START_NANOS;
    private long added;

    @Override
    public Instant now() {
        return Instant.EPOCH.plusNanos(nanos);
    }

    @Override
    public long nanos() {
        return nanos;
    }

    double seconds() {
        return (nanos - START_NANOS) / 1e9;
    }

    void after(double millis, Runnable task) {
        events.add(new Event(nanos + (long) (millis * 1e6), added++, task));
    }

    void every(double millis, Runnable task) {
        after(millis, () -> {
            task.run();
            every(millis, task);
        });
    }

    void runUntil(double seconds) {
        long end = START_NANOS + (long) (seconds * 1e9);
        while (!events.isEmpty() && events.peek().nanos <= end) {
            Event event = events.poll();
            nanos = event.nanos;
            event.task.run();
        }
        nanos = end;
    }

    private record Event(long nanos, long order, Runnable task) {}
}
