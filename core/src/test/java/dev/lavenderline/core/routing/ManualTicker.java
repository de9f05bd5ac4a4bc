package dev.lavenderline.core.routing;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.time.Instant;

/** A clock that advances only on request. */
public final class ManualTicker implements Ticker {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final long START_NANOS = Long.MAX_VALUE - 1_000_000_000_000L;

    private long elapsed;

    @Override
    public Instant now() {
        return START.plusNanos(elapsed);
    }

    /** Starts near {@link Long#MAX_VALUE}, so that comparisons without overflow handling fail. */
    @Override
    public long nanos() {
        return START_NANOS + elapsed;
    }

    public void advance(Duration duration) {
        elapsed += duration.toNanos();
    }

    public void advanceMillis(long millis) {
        advance(Duration.ofMillis(millis));
    }
}
