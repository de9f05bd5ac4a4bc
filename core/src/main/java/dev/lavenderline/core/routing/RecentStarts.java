package dev.lavenderline.core.routing;

/**
 * Estimates the number of requests without a first token whose starts are only known from a rising count. Each start
 * loses weight linearly over the typical time to a first token.
 */
final class RecentStarts {
    private double starts;
    private long countedNanos;

    void add(int count, double firstTokenNanos, long nowNanos) {
        starts = value(firstTokenNanos, nowNanos) + count;
        countedNanos = nowNanos;
    }

    double value(double firstTokenNanos, long nowNanos) {
        if (starts == 0 || firstTokenNanos <= 0) {
            return 0;
        }
        return starts * Math.max(0, 1 - (nowNanos - countedNanos) / firstTokenNanos);
    }
}
