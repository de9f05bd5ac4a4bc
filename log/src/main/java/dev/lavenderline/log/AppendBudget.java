package dev.lavenderline.log;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.Objects;

/**
 * Limits the appends of a node: a token bucket that all writers of the node share. Each attempt takes a token, also a
 * repeated one.
 *
 * <p>Invariant: within any time t, at most {@code burst + t * rate} reservations become due. Not thread-safe; confined
 * to the node's event loop.
 */
public final class AppendBudget {
    private final Ticker ticker;
    private final long intervalNanos;
    private final long burstNanos;
    /** Time at which the bucket would be full; it lies in the future by the tokens that are taken. */
    private long fullNanos;

    /**
     * Creates a full bucket.
     *
     * @param appendsPerSecond refill rate
     * @param burst capacity in appends
     */
    public AppendBudget(Ticker ticker, double appendsPerSecond, int burst) {
        this.ticker = Objects.requireNonNull(ticker, "ticker");
        if (!(appendsPerSecond > 0)) {
            throw new IllegalArgumentException("appends per second must be positive, not " + appendsPerSecond);
        }
        if (burst < 1) {
            throw new IllegalArgumentException("burst must be at least 1, not " + burst);
        }
        this.intervalNanos = Math.max(1, Math.round(1e9 / appendsPerSecond));
        this.burstNanos = Math.multiplyExact(intervalNanos, burst);
        this.fullNanos = ticker.nanos();
    }

    /** Creates a full bucket that holds the appends of a third of a second. */
    public static AppendBudget perSecond(Ticker ticker, double appendsPerSecond) {
        return new AppendBudget(ticker, appendsPerSecond, (int) Math.max(1, appendsPerSecond / 3));
    }

    /** Takes one token and returns how long to wait before it may be used; zero if it is available now. */
    public Duration reserve() {
        long now = ticker.nanos();
        if (fullNanos - now < 0) {
            fullNanos = now;
        }
        fullNanos += intervalNanos;
        return Duration.ofNanos(Math.max(0, fullNanos - now - burstNanos));
    }
}
