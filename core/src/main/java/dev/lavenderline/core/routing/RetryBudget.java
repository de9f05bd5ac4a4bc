package dev.lavenderline.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Token bucket for retries and hedges. Each request earns a part of a token. A floor of tokens a second, which only
 * retries may use, lets a node with little traffic recover from single failures.
 *
 * <p>Invariant: hedges never exceed {@code ratio * requests}; retries and hedges together never exceed
 * {@code ratio * requests + minPerSecond * (seconds + 1)}.
 */
final class RetryBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double ratio;
    private final double minPerSecond;
    private final double burst;
    private double earned;
    private double floor;
    private long floorNanos;
    /** Earned tokens count towards the floor, so that the floor adds nothing at a high request rate. */
    private double earnedSinceFloor;

    RetryBudget(double ratio, double minPerSecond, int burst, long nowNanos) {
        checkArgument(ratio >= 0, "ratio is negative: %s", ratio);
        checkArgument(minPerSecond >= 0, "minPerSecond is negative: %s", minPerSecond);
        this.ratio = ratio;
        this.minPerSecond = minPerSecond;
        this.burst = burst;
        this.floor = minPerSecond;
        this.floorNanos = nowNanos;
    }

    /** Counts a first attempt. */
    void requested() {
        earned = Math.min(burst, earned + ratio);
        earnedSinceFloor += ratio;
    }

    boolean takeRetry(long nowNanos) {
        if (takeHedge()) {
            return true;
        }
        refillFloor(nowNanos);
        if (floor < 1) {
            return false;
        }
        floor -= 1;
        return true;
    }

    boolean takeHedge() {
        if (!hedgeAvailable()) {
            return false;
        }
        earned -= 1;
        return true;
    }

    boolean hedgeAvailable() {
        return earned >= 1;
    }

    private void refillFloor(long nowNanos) {
        double elapsed = (nowNanos - floorNanos) / NANOS_PER_SECOND;
        double missing = Math.max(0, elapsed * minPerSecond - earnedSinceFloor);
        if (missing > 0) {
            floor = Math.min(Math.max(1, minPerSecond), floor + missing);
            floorNanos = nowNanos;
            earnedSinceFloor = 0;
        } else if (elapsed >= 1) {
            floorNanos = nowNanos;
            earnedSinceFloor = 0;
        }
    }
}
