package dev.lavenderline.serving.workspaces;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.time.Instant;

/**
 * A moment by both clocks of this process. Immutable.
 *
 * <p>The monotonic clock of a suspended host does not count the time of its suspension, and the wall clock may be set
 * back. An age is therefore the larger of both differences.
 *
 * @param nanos monotonic time, see {@link Ticker#nanos}
 * @param wall wall-clock time
 */
public record ClockReading(long nanos, Instant wall) {
    /** Reads both clocks. */
    public static ClockReading now(Ticker ticker) {
        return new ClockReading(ticker.nanos(), ticker.now());
    }

    /** Returns the reading that is earlier by a period on both clocks. */
    public ClockReading minus(Duration period) {
        return new ClockReading(nanos - period.toNanos(), wall.minus(period));
    }

    /** Returns the time since this reading, never negative. */
    public Duration age(Ticker ticker) {
        Duration monotonic = Duration.ofNanos(ticker.nanos() - nanos);
        Duration byWall = Duration.between(wall, ticker.now());
        Duration larger = monotonic.compareTo(byWall) > 0 ? monotonic : byWall;
        return larger.isNegative() ? Duration.ZERO : larger;
    }

    /** Returns the reading that has the smaller age now, the other one if they are equal. */
    public ClockReading younger(ClockReading other, Ticker ticker) {
        return age(ticker).compareTo(other.age(ticker)) < 0 ? this : other;
    }
}
