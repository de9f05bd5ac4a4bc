package dev.lavenderline.core.routing;

/**
 * Recent latency of one upstream as this node observed it. All durations are in nanoseconds; 0 stands for unknown.
 *
 * <p>Attempts with long prompts are not recorded, because their time to the first token depends more on the prompt
 * than on the upstream.
 */
final class UpstreamStatistics {
    /** Delay that each attempt ahead without a token adds, as a fraction of the unloaded first-token time. */
    static final double DELAY_PER_PENDING = 0.5;

    /** Age above which an average counts as unknown. */
    static final long MAX_AGE_NANOS = 10_000_000_000L;

    private static final long SLICE_NANOS = 5_000_000_000L;
    private static final int SLICES = 4;

    private final DecayingAverage firstToken = new DecayingAverage(2e9, 0.4);
    private final DecayingAverage unloadedFirstToken = new DecayingAverage(2e9, 0.25);
    private final DecayingAverage interval = new DecayingAverage(2e8, 0);
    /** Allocated with the first sample, because a node does not use most upstreams of a large fleet. */
    private SlidingHistogram firstTokens;

    private SlidingHistogram intervals;
    private long lastReceivedNanos = Long.MIN_VALUE;

    /**
     * Records the time to a first token.
     *
     * @param pendingAhead estimated requests and items on the upstream that had no token yet when this one was sent
     */
    void recordFirstToken(long nanos, double pendingAhead, long nowNanos) {
        firstToken.add(nanos, nowNanos);
        unloadedFirstToken.add(nanos / (1 + DELAY_PER_PENDING * pendingAhead), nowNanos);
        if (firstTokens == null) {
            firstTokens = new SlidingHistogram(SLICE_NANOS, SLICES);
        }
        firstTokens.add(nanos, nowNanos);
    }

    /**
     * Records that an attempt was ended without a first token; ignored unless the wait exceeds the average.
     *
     * @param typicalNanos typical time to the first token in the group
     */
    void recordMissingFirstToken(long nanos, double typicalNanos, long nowNanos) {
        if (nanos > Math.max(typicalNanos, firstToken.value())) {
            firstToken.add(nanos, nowNanos);
            unloadedFirstToken.add(nanos, nowNanos);
        }
    }

    /** Records the interval between two tokens of one stream. */
    void recordInterval(long nanos, long nowNanos) {
        interval.add(nanos, nowNanos);
        if (intervals == null) {
            intervals = new SlidingHistogram(SLICE_NANOS, SLICES);
        }
        intervals.add(nanos, nowNanos);
    }

    /** Records that data was received from the upstream. */
    void recordReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    double firstToken(long nowNanos, long maxAgeNanos) {
        return firstToken.fresh(nowNanos, maxAgeNanos) ? firstToken.value() : 0;
    }

    /** Returns the first-token time of an attempt with no requests ahead of it, 0 if unknown or too old. */
    double unloadedFirstToken(long nowNanos, boolean anyAge) {
        return (anyAge || unloadedFirstToken.fresh(nowNanos, MAX_AGE_NANOS)) ? unloadedFirstToken.value() : 0;
    }

    double interval(long nowNanos) {
        return interval.fresh(nowNanos, MAX_AGE_NANOS) ? interval.value() : 0;
    }

    int firstTokenSamples() {
        return firstToken.samples();
    }

    long firstTokenQuantile(double q, long nowNanos) {
        return firstTokens == null ? 0 : firstTokens.quantile(q, nowNanos);
    }

    long intervalQuantile(double q, long nowNanos) {
        return intervals == null ? 0 : intervals.quantile(q, nowNanos);
    }

    /** Clears the averages after the upstream recovered or was replaced. */
    void reset() {
        firstToken.reset();
        unloadedFirstToken.reset();
        interval.reset();
    }
}
