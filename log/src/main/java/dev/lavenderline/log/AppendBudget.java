package dev.lavenderline.log;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.Objects;

/**
 * Token bucket that limits the append rate of a node. All writers of the node share it; each attempt takes a token,
 * including retries.
 *
 * <p>Invariant: within any time t, at most {@code burst + t * rate} reservations become due. Not thread-safe; confined
 * to the node's event loop.
 */
public final class AppendBudget {
    private final Ticker ticker;
    private final long intervalNanos;
    private final long burstNanos;
    /** Time at which the bucket is full again; each taken token postpones it by one interval. */
    private long fullAtNanos;

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
        this.fullAtNanos = ticker.nanos();
    }

    /** Creates a full bucket whose capacity is a third of a second of appends, at least one. */
    public static AppendBudget perSecond(Ticker ticker, double appendsPerSecond) {
        return new AppendBudget(ticker, appendsPerSecond, (int) Math.max(1, appendsPerSecond / 3));
    }

    /** Takes one token and returns the delay until it may be used; zero if it is available now. */
    public Duration reserve() {
        long now = ticker.nanos();
        if (fullAtNanos - now < 0) {
            fullAtNanos = now;
        }
        fullAtNanos += intervalNanos;
        return Duration.ofNanos(Math.max(0, fullAtNanos - now - burstNanos));
    }
}
