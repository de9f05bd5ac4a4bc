package dev.lavenderline.standins.log;

/** Token-bucket rate limiter; an infinite rate is never limited. Not thread-safe. */
final class TokenBucket {
    private final double tokensPerSecond;
    private final double capacity;
    private double tokens;
    private long lastNanos = System.nanoTime();

    TokenBucket(double tokensPerSecond, double capacity) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = capacity;
    }

    boolean tryAcquire() {
        if (Double.isInfinite(tokensPerSecond)) {
            return true;
        }
        long now = System.nanoTime();
        tokens = Math.min(capacity, tokens + (now - lastNanos) * 1e-9 * tokensPerSecond);
        lastNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
