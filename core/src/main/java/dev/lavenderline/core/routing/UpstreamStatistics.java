package dev.lavenderline.core.routing;

/**
 * Recent latency of one upstream as this node observed it. All durations are in nanoseconds; 0 stands for unknown.
 *
 * <p>Attempts with long prompts are not recorded, because their time to the first token says more of the prompt than of
 * the upstream.
 */
final class UpstreamStatistics {
    /** Share of the first-token time that each attempt ahead without a token adds. */
    static final double SHARE_PER_PENDING = 0.5;

    static final long MAX_AGE_NANOS = 10_000_000_000L;
    private static final long SLICE_NANOS = 5_000_000_000L;
    private static final int SLICES = 4;

    private final DecayingAverage firstToken = new DecayingAverage(2e9, 0.4);
    private final DecayingAverage firstTokenBase = new DecayingAverage(2e9, 0.25);
    private final DecayingAverage interval = new DecayingAverage(2e8, 0);
    /** Allocated with the first sample, because most upstreams of a large fleet are unused by a node. */
    private SlidingHistogram firstTokens;

    private SlidingHistogram intervals;
    private long lastObservationNanos = Long.MIN_VALUE;

    /**
     * Records the time to a first token.
     *
     * @param ahead estimated requests and items on the upstream that had no token yet when this one was sent
     */
    void firstToken(long nanos, double ahead, long nowNanos) {
        firstToken.add(nanos, nowNanos);
        firstTokenBase.add(nanos / (1 + SHARE_PER_PENDING * ahead), nowNanos);
        if (firstTokens == null) {
            firstTokens = new SlidingHistogram(SLICE_NANOS, SLICES);
        }
        firstTokens.add(nanos, nowNanos);
    }

    /**
     * Records that an attempt was ended without a first token; only a wait above the average says something.
     *
     * @param usualNanos usual time to the first token in the group
     */
    void noFirstToken(long nanos, double usualNanos, long nowNanos) {
        if (nanos > Math.max(usualNanos, firstToken.value())) {
            firstToken.add(nanos, nowNanos);
            firstTokenBase.add(nanos, nowNanos);
        }
    }

    /** Records the interval between two tokens of one stream. */
    void interval(long nanos, long nowNanos) {
        interval.add(nanos, nowNanos);
        if (intervals == null) {
            intervals = new SlidingHistogram(SLICE_NANOS, SLICES);
        }
        intervals.add(nanos, nowNanos);
    }

    /** Records that something arrived from the upstream. */
    void observed(long nowNanos) {
        lastObservationNanos = nowNanos;
    }

    long lastObservationNanos() {
        return lastObservationNanos;
    }

    double firstToken(long nowNanos, long maxAgeNanos) {
        return firstToken.fresh(nowNanos, maxAgeNanos) ? firstToken.value() : 0;
    }

    /** Returns the first-token time of an attempt with none ahead of it. */
    double firstTokenBase(long nowNanos, boolean anyAge) {
        return (anyAge || firstTokenBase.fresh(nowNanos, MAX_AGE_NANOS)) ? firstTokenBase.value() : 0;
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

    /** Forgets the averages after the upstream recovered or was replaced. */
    void reset() {
        firstToken.reset();
        firstTokenBase.reset();
        interval.reset();
    }
}
