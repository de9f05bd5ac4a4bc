package dev.lavenderline.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Token bucket for retries and hedges. Each request earns a fraction of a token. A minimum rate of tokens
 * (the floor), which only retries may use, lets a node with little traffic recover from single failures.
 *
 * <p>Invariant: hedges never exceed {@code ratio * requests}; retries and hedges together never exceed
 * {@code ratio * requests + minPerSecond * (seconds + 1)}.
 */
final class RetryBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double ratio;
    private final double minPerSecond;
    private final double burst;
    private double earnedTokens;
    private double floorTokens;
    private long floorRefillNanos;
    /** Earned tokens count towards the floor, so that the floor adds nothing at a high request rate. */
    private double earnedSinceFloorRefill;

    RetryBudget(double ratio, double minPerSecond, int burst, long nowNanos) {
        checkArgument(ratio >= 0, "ratio is negative: %s", ratio);
        checkArgument(minPerSecond >= 0, "minPerSecond is negative: %s", minPerSecond);
        this.ratio = ratio;
        this.minPerSecond = minPerSecond;
        this.burst = burst;
        this.floorTokens = minPerSecond;
        this.floorRefillNanos = nowNanos;
    }

    /** Records the first attempt of a request. */
    void requestStarted() {
        earnedTokens = Math.min(burst, earnedTokens + ratio);
        earnedSinceFloorRefill += ratio;
    }

    boolean takeRetry(long nowNanos) {
        if (takeHedge()) {
            return true;
        }
        refillFloor(nowNanos);
        if (floorTokens < 1) {
            return false;
        }
        floorTokens -= 1;
        return true;
    }

    boolean takeHedge() {
        if (!hedgeAvailable()) {
            return false;
        }
        earnedTokens -= 1;
        return true;
    }

    boolean hedgeAvailable() {
        return earnedTokens >= 1;
    }

    private void refillFloor(long nowNanos) {
        double elapsed = (nowNanos - floorRefillNanos) / NANOS_PER_SECOND;
        double missing = Math.max(0, elapsed * minPerSecond - earnedSinceFloorRefill);
        if (missing > 0) {
            floorTokens = Math.min(Math.max(1, minPerSecond), floorTokens + missing);
            floorRefillNanos = nowNanos;
            earnedSinceFloorRefill = 0;
        } else if (elapsed >= 1) {
            floorRefillNanos = nowNanos;
            earnedSinceFloorRefill = 0;
        }
    }
}
