package dev.lavenderline.core.admission;

/** Completions a second, averaged over about half a minute. */
final class CompletionRate {
    private static final double TIME_CONSTANT_NANOS = 30e9;
    private static final double NANOS_PER_SECOND = 1e9;

    private final long startNanos;
    private double weighted;
    private long lastNanos;

    CompletionRate(long nowNanos) {
        startNanos = nowNanos;
        lastNanos = nowNanos;
    }

    void completed(long nowNanos) {
        decay(nowNanos);
        weighted += 1;
    }

    private void decay(long nowNanos) {
        weighted *= Math.exp(-(nowNanos - lastNanos) / TIME_CONSTANT_NANOS);
        lastNanos = nowNanos;
    }

    /** Returns the rate; the average starts with an empty window, which is corrected for. */
    double perSecond(long nowNanos) {
        decay(nowNanos);
        double covered = -Math.expm1(-(nowNanos - startNanos) / TIME_CONSTANT_NANOS);
        return covered <= 0 ? 0 : weighted / (TIME_CONSTANT_NANOS / NANOS_PER_SECOND) / covered;
    }

    double observedSeconds(long nowNanos) {
        return (nowNanos - startNanos) / NANOS_PER_SECOND;
    }
}
