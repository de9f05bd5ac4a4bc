package dev.lavenderline.core.admission;

/** Completions per second as an exponentially weighted moving average with a time constant of 30 s. */
final class CompletionRate {
    private static final double TIME_CONSTANT_NANOS = 30e9;
    private static final double NANOS_PER_SECOND = 1e9;

    private final long startNanos;
    private double decayedCount;
    private long lastNanos;

    CompletionRate(long nowNanos) {
        startNanos = nowNanos;
        lastNanos = nowNanos;
    }

    void completed(long nowNanos) {
        decay(nowNanos);
        decayedCount += 1;
    }

    private void decay(long nowNanos) {
        decayedCount *= Math.exp(-(nowNanos - lastNanos) / TIME_CONSTANT_NANOS);
        lastNanos = nowNanos;
    }

    /** Returns the rate, corrected for the bias of a window that starts empty. */
    double perSecond(long nowNanos) {
        decay(nowNanos);
        double coverage = -Math.expm1(-(nowNanos - startNanos) / TIME_CONSTANT_NANOS);
        return coverage <= 0 ? 0 : decayedCount / (TIME_CONSTANT_NANOS / NANOS_PER_SECOND) / coverage;
    }

    double observedSeconds(long nowNanos) {
        return (nowNanos - startNanos) / NANOS_PER_SECOND;
    }
}
