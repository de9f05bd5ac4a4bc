package dev.lavenderline.standins.log;

/** Limits a rate; an infinite rate always passes. Not thread-safe. */
final class TokenBucket {
    private final double perSecond;
    private final double capacity;
    private double tokens;
    private long lastNanos = System.nanoTime();

    TokenBucket(double perSecond, double capacity) {
        this.perSecond = perSecond;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    boolean tryTake() {
        if (Double.isInfinite(perSecond)) {
            return true;
        }
        long now = System.nanoTime();
        tokens = Math.min(capacity, tokens + (now - lastNanos) * 1e-9 * perSecond);
        lastNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
